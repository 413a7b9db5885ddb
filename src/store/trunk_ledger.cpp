#include "store/trunk_ledger.hpp"

#include <sqlite3.h>

#include <filesystem>
#include <map>
#include <optional>
#include <stdexcept>

namespace nettlestall::store {
namespace {

constexpr int kApplication = 0x6e746c31;  // in the file's head: whose it is
constexpr int kVersion = 1;

struct Failed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

constexpr const char* kTables =
    "CREATE TABLE facts (name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;"
    "CREATE TABLE places (grp INTEGER, circuit INTEGER, ref INTEGER NOT NULL, circuits TEXT NOT NULL,"
    " call TEXT NOT NULL, outgoing INTEGER NOT NULL, at TEXT NOT NULL, origin TEXT NOT NULL,"
    " PRIMARY KEY (grp, circuit)) WITHOUT ROWID;"
    "CREATE TABLE blocked (grp INTEGER, circuit INTEGER, blocking INTEGER NOT NULL,"
    " PRIMARY KEY (grp, circuit)) WITHOUT ROWID;";

std::string to_text(const trunk::CircuitList& circuits) {
    std::string text;
    for (const trunk::CircuitNumber n : circuits) text += std::to_string(n) + ' ';
    return text;
}

trunk::CircuitList to_circuits(const std::string& text) {
    trunk::CircuitList circuits;
    int number = 0;
    for (const char c : text) {
        if (c == ' ') {
            circuits.push_back(std::exchange(number, 0));
        } else {
            if (c < '0' || c > '9' || number > trunk::kMaxCircuitsPerGroup) return {};
            number = number * 10 + (c - '0');
        }
    }
    return circuits;
}

}  // namespace

// Thin: statements that are prepared once, and errors as exceptions.
class TrunkLedger::Database {
   public:
    explicit Database(const std::string& path) {
        sqlite3* opened = nullptr;
        const int result = sqlite3_open(path.c_str(), &opened);
        db_.reset(opened);  // also one that failed has to be closed
        if (result != SQLITE_OK) fail();
        sqlite3_busy_timeout(db_.get(), 200);
        // The log in front of the file: a process that dies at any moment leaves all that was committed.
        run("PRAGMA journal_mode=WAL"), run("PRAGMA synchronous=NORMAL"), run("PRAGMA cache_size=-256");
    }
    ~Database() {
        for (auto& [text, statement] : statements_) sqlite3_finalize(statement);
    }
    Database(const Database&) = delete;

    void run(const char* text) {
        if (sqlite3_exec(db_.get(), text, nullptr, nullptr, nullptr) != SQLITE_OK) fail();
    }

    class Row {
       public:
        explicit Row(sqlite3_stmt* statement) : statement_(statement) {}
        std::int64_t number(int column) const { return sqlite3_column_int64(statement_, column); }
        std::string text(int column) const {
            const auto* bytes = reinterpret_cast<const char*>(sqlite3_column_text(statement_, column));
            return bytes ? std::string(bytes,
                                       static_cast<std::size_t>(sqlite3_column_bytes(statement_, column)))
                         : std::string();
        }

       private:
        sqlite3_stmt* statement_;
    };

    template <class F, class... Values>
    void each(const char* text, F&& row, const Values&... values) {
        sqlite3_stmt* const statement = prepared(text);
        int place = 0;
        (bind(statement, ++place, values), ...);
        int result = SQLITE_ROW;
        while ((result = sqlite3_step(statement)) == SQLITE_ROW) row(Row(statement));
        sqlite3_reset(statement);
        sqlite3_clear_bindings(statement);
        if (result != SQLITE_DONE) fail();
    }
    template <class... Values>
    void execute(const char* text, const Values&... values) {
        each(
            text, [](const Row&) {}, values...);
    }
    std::int64_t number(const char* text) {
        std::int64_t found = -1;
        each(text, [&found](const Row& row) { found = row.number(0); });
        return found;
    }
    std::string text(const char* query) {
        std::string found;
        each(query, [&found](const Row& row) { found = row.text(0); });
        return found;
    }

   private:
    [[noreturn]] void fail() const { throw Failed(db_ ? sqlite3_errmsg(db_.get()) : "no memory"); }

    sqlite3_stmt* prepared(const char* text) {
        auto& statement = statements_[text];
        if (!statement && sqlite3_prepare_v2(db_.get(), text, -1, &statement, nullptr) != SQLITE_OK) fail();
        return statement;
    }
    static void bind(sqlite3_stmt* statement, int place, std::int64_t value) {
        sqlite3_bind_int64(statement, place, value);
    }
    static void bind(sqlite3_stmt* statement, int place, const std::string& value) {
        sqlite3_bind_text(statement, place, value.data(), static_cast<int>(value.size()), SQLITE_TRANSIENT);
    }

    struct Closer {
        void operator()(sqlite3* db) const { sqlite3_close(db); }
    };
    std::unique_ptr<sqlite3, Closer> db_;
    std::map<std::string, sqlite3_stmt*> statements_;
};

TrunkLedger::TrunkLedger(const std::string& folder, trunk::PointCode own, Note note)
    : note_(std::move(note)) {
    namespace fs = std::filesystem;
    const std::string path = folder + "/trunk-" + std::to_string(own) + ".ledger";
    std::string wrong;
    if ((db_ = open(path, own, wrong))) return;
    std::error_code error;
    for (int n = 1; n <= 1000; ++n) {
        const std::string aside = path + ".set-aside-" + std::to_string(n);
        if (fs::exists(aside, error)) continue;
        fs::rename(path, aside, error);
        if (error) break;
        for (const char* end : {"-wal", "-shm"}) {
            std::error_code none;
            fs::rename(path + end, aside + end, none);
        }
        note_("ledger " + path + ": " + wrong + "; set aside as " + aside);
        db_ = open(path, own, wrong);
        break;
    }
    if (!db_) note_("ledger " + path + ": " + wrong + "; nothing will be remembered");
}

TrunkLedger::~TrunkLedger() = default;

std::unique_ptr<TrunkLedger::Database> TrunkLedger::open(const std::string& path, trunk::PointCode own,
                                                         std::string& wrong) const {
    try {
        std::error_code error;
        const bool fresh =
            !std::filesystem::exists(path, error) || std::filesystem::file_size(path, error) == 0;
        auto db = std::make_unique<Database>(path);
        if (fresh) {
            db->run("BEGIN IMMEDIATE");
            db->run(kTables);
            db->run(("PRAGMA application_id=" + std::to_string(kApplication)).c_str());
            db->run(("PRAGMA user_version=" + std::to_string(kVersion)).c_str());
            db->execute("INSERT INTO facts VALUES ('point', ?)", static_cast<std::int64_t>(own));
            db->run("COMMIT");
            return db;
        }
        if (db->number("PRAGMA application_id") != kApplication) {
            wrong = "it is of another program";
        } else if (const auto version = db->number("PRAGMA user_version"); version != kVersion) {
            wrong = "it is of version " + std::to_string(version) + ", not " + std::to_string(kVersion);
        } else if (const std::string torn = db->text("PRAGMA quick_check(1)"); torn != "ok") {
            wrong = "it is torn: " + torn;
        } else if (const auto point = db->number("SELECT value FROM facts WHERE name='point'");
                   point != own) {
            wrong = "it is of point code " + std::to_string(point) + ", not " + std::to_string(own);
        } else {
            return db;
        }
    } catch (const Failed& problem) {
        wrong = std::string("it can't be read: ") + problem.what();
    }
    return nullptr;
}

void TrunkLedger::write(const std::function<void(Database&)>& work) {
    if (!db_) return;
    try {
        db_->run("BEGIN IMMEDIATE");
        work(*db_);
        db_->run("COMMIT");
    } catch (const Failed& problem) {
        note_(std::string("ledger: ") + problem.what() + "; nothing more will be remembered");
        db_ = nullptr;
    }
}

std::uint32_t TrunkLedger::next_incarnation(std::uint32_t at_least) {
    std::int64_t life = at_least;
    write([&life](Database& db) {
        life = std::max(life, db.number("SELECT value FROM facts WHERE name='life'") + 1);
        db.execute("INSERT OR REPLACE INTO facts VALUES ('life', ?)", life);
    });
    return static_cast<std::uint32_t>(life);
}

std::vector<trunk::LedgerCall> TrunkLedger::calls() {
    std::map<std::uint32_t, std::map<trunk::CircuitNumber, trunk::LedgerCall>> places;
    write([&places](Database& db) {
        db.each("SELECT grp, circuit, ref, circuits, call, outgoing, at, origin FROM places",
                [&places](const Database::Row& row) {
                    trunk::LedgerCall call;
                    call.group = static_cast<std::uint32_t>(row.number(0));
                    call.claim.call = static_cast<trunk::CallRef>(row.number(2));
                    call.claim.circuits = to_circuits(row.text(3));
                    call.call = row.text(4);
                    call.outgoing = row.number(5) != 0;
                    call.exchange = row.text(6);
                    call.origin = row.text(7);
                    places[call.group][static_cast<trunk::CircuitNumber>(row.number(1))] = std::move(call);
                });
    });
    std::vector<trunk::LedgerCall> found;
    for (const auto& [group, of_group] : places)
        for (trunk::LedgerCall& call : trunk::complete_calls(of_group)) found.push_back(std::move(call));
    return found;
}

std::vector<TrunkLedger::Blocked> TrunkLedger::blocked() {
    std::vector<Blocked> found;
    write([&found](Database& db) {
        db.each("SELECT grp, circuit, blocking FROM blocked", [&found](const Database::Row& row) {
            if (row.number(2) < 1 || row.number(2) > 2) return;
            found.push_back({static_cast<std::uint32_t>(row.number(0)),
                             static_cast<trunk::CircuitNumber>(row.number(1)),
                             static_cast<trunk::Blocking>(row.number(2))});
        });
    });
    return found;
}

void TrunkLedger::store_call(const trunk::LedgerCall& call) {
    write([&call](Database& db) {
        for (const trunk::CircuitNumber n : call.claim.circuits)
            db.execute("INSERT OR REPLACE INTO places VALUES (?, ?, ?, ?, ?, ?, ?, ?)",
                       static_cast<std::int64_t>(call.group), static_cast<std::int64_t>(n),
                       static_cast<std::int64_t>(call.claim.call), to_text(call.claim.circuits), call.call,
                       static_cast<std::int64_t>(call.outgoing), call.exchange, call.origin);
    });
}

void TrunkLedger::remove_call(std::uint32_t group, const trunk::Claim& claim) {
    write([&](Database& db) {
        for (const trunk::CircuitNumber n : claim.circuits)
            db.execute("DELETE FROM places WHERE grp=? AND circuit=? AND ref=?",
                       static_cast<std::int64_t>(group), static_cast<std::int64_t>(n),
                       static_cast<std::int64_t>(claim.call));
    });
}

void TrunkLedger::store_blocking(std::uint32_t group, trunk::CircuitNumber circuit,
                                 trunk::Blocking blocking) {
    write([&](Database& db) {
        if (blocking == trunk::Blocking::none)
            db.execute("DELETE FROM blocked WHERE grp=? AND circuit=?", static_cast<std::int64_t>(group),
                       static_cast<std::int64_t>(circuit));
        else
            db.execute("INSERT OR REPLACE INTO blocked VALUES (?, ?, ?)", static_cast<std::int64_t>(group),
                       static_cast<std::int64_t>(circuit), static_cast<std::int64_t>(blocking));
    });
}

}  // namespace nettlestall::store
