#include "store/trunk_ledger.hpp"

#include <sqlite3.h>

#include <filesystem>
#include <map>
#include <optional>
#include <stdexcept>

namespace nettlestall::store {
namespace {

// In the file's header: which program and which table layout it belongs to.
constexpr int kApplicationId = 0x6e746c31;
constexpr int kSchemaVersion = 1;

// An SQLite error.
struct DatabaseError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// `facts`: the point code of the hub and its last incarnation (row `life`). `places`: one row per circuit
// that a standing call holds. `blocked`: one row per circuit that this end blocks.
constexpr const char* kCreateTables =
    "CREATE TABLE facts (name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;"
    "CREATE TABLE places (grp INTEGER, circuit INTEGER, ref INTEGER NOT NULL, circuits TEXT NOT NULL,"
    " call TEXT NOT NULL, outgoing INTEGER NOT NULL, at TEXT NOT NULL, origin TEXT NOT NULL,"
    " PRIMARY KEY (grp, circuit)) WITHOUT ROWID;"
    "CREATE TABLE blocked (grp INTEGER, circuit INTEGER, blocking INTEGER NOT NULL,"
    " PRIMARY KEY (grp, circuit)) WITHOUT ROWID;";

// The column `circuits`: each number followed by a space.
std::string to_text(const trunk::CircuitList& circuits) {
    std::string text;
    for (const trunk::CircuitNumber n : circuits) text += std::to_string(n) + ' ';
    return text;
}

// The reverse of to_text(). Empty if the text contains anything but digits and spaces, or a number that is
// far too large; a number without a space after it is ignored.
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

// A thin wrapper of SQLite: each statement is prepared once, and errors are thrown as DatabaseError.
class TrunkLedger::Database {
   public:
    explicit Database(const std::string& path) {
        sqlite3* opened = nullptr;
        const int result = sqlite3_open(path.c_str(), &opened);
        db_.reset(opened);  // must be closed even if opening failed
        if (result != SQLITE_OK) fail();
        sqlite3_busy_timeout(db_.get(), 200);  // ms
        // With a write-ahead log, everything committed survives a crash of the process at any moment. The
        // page cache is limited to 256 KiB.
        run("PRAGMA journal_mode=WAL"), run("PRAGMA synchronous=NORMAL"), run("PRAGMA cache_size=-256");
    }
    ~Database() {
        for (auto& [text, statement] : statements_) sqlite3_finalize(statement);
    }
    Database(const Database&) = delete;

    void run(const char* text) {
        if (sqlite3_exec(db_.get(), text, nullptr, nullptr, nullptr) != SQLITE_OK) fail();
    }

    // The current row of a result. Columns count from 0.
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

    // Runs the statement with `values` for its parameters, and `handle` for each row of the result.
    template <class F, class... Values>
    void for_each_row(const char* text, F&& handle, const Values&... values) {
        sqlite3_stmt* const statement = prepared(text);
        int index = 0;
        (bind(statement, ++index, values), ...);
        int result = SQLITE_ROW;
        while ((result = sqlite3_step(statement)) == SQLITE_ROW) handle(Row(statement));
        sqlite3_reset(statement);
        sqlite3_clear_bindings(statement);
        if (result != SQLITE_DONE) fail();
    }
    // Runs a statement whose result is not needed.
    template <class... Values>
    void execute(const char* text, const Values&... values) {
        for_each_row(
            text, [](const Row&) {}, values...);
    }
    // The first column of the last row; -1 if there is none.
    std::int64_t number(const char* text) {
        std::int64_t found = -1;
        for_each_row(text, [&found](const Row& row) { found = row.number(0); });
        return found;
    }
    // The first column of the last row; empty if there is none.
    std::string text(const char* query) {
        std::string found;
        for_each_row(query, [&found](const Row& row) { found = row.text(0); });
        return found;
    }

   private:
    [[noreturn]] void fail() const { throw DatabaseError(db_ ? sqlite3_errmsg(db_.get()) : "no memory"); }

    // The statement for `text`, which is prepared at its first use.
    sqlite3_stmt* prepared(const char* text) {
        auto& statement = statements_[text];
        if (!statement && sqlite3_prepare_v2(db_.get(), text, -1, &statement, nullptr) != SQLITE_OK) fail();
        return statement;
    }
    static void bind(sqlite3_stmt* statement, int index, std::int64_t value) {
        sqlite3_bind_int64(statement, index, value);
    }
    static void bind(sqlite3_stmt* statement, int index, const std::string& value) {
        sqlite3_bind_text(statement, index, value.data(), static_cast<int>(value.size()), SQLITE_TRANSIENT);
    }

    struct Closer {
        void operator()(sqlite3* db) const { sqlite3_close(db); }
    };
    std::unique_ptr<sqlite3, Closer> db_;
    std::map<std::string, sqlite3_stmt*> statements_;  // by SQL text
};

TrunkLedger::TrunkLedger(const std::string& folder, trunk::PointCode own, Log log) : log_(std::move(log)) {
    namespace fs = std::filesystem;
    const std::string path = folder + "/trunk-" + std::to_string(own) + ".ledger";
    std::string reason;
    if ((db_ = open(path, own, reason))) return;
    std::error_code error;
    for (int n = 1; n <= 1000; ++n) {
        const std::string new_path = path + ".set-aside-" + std::to_string(n);
        if (fs::exists(new_path, error)) continue;
        fs::rename(path, new_path, error);
        if (error) break;
        for (const char* suffix : {"-wal", "-shm"}) {
            std::error_code ignored;
            fs::rename(path + suffix, new_path + suffix, ignored);
        }
        log_("ledger " + path + ": " + reason + "; set aside as " + new_path);
        db_ = open(path, own, reason);
        break;
    }
    if (!db_) log_("ledger " + path + ": " + reason + "; nothing will be remembered");
}

TrunkLedger::~TrunkLedger() = default;

std::unique_ptr<TrunkLedger::Database> TrunkLedger::open(const std::string& path, trunk::PointCode own,
                                                         std::string& reason) const {
    try {
        std::error_code error;
        const bool is_new =
            !std::filesystem::exists(path, error) || std::filesystem::file_size(path, error) == 0;
        auto db = std::make_unique<Database>(path);
        if (is_new) {
            db->run("BEGIN IMMEDIATE");
            db->run(kCreateTables);
            db->run(("PRAGMA application_id=" + std::to_string(kApplicationId)).c_str());
            db->run(("PRAGMA user_version=" + std::to_string(kSchemaVersion)).c_str());
            db->execute("INSERT INTO facts VALUES ('point', ?)", static_cast<std::int64_t>(own));
            db->run("COMMIT");
            return db;
        }
        if (db->number("PRAGMA application_id") != kApplicationId) {
            reason = "it belongs to another program";
        } else if (const auto version = db->number("PRAGMA user_version"); version != kSchemaVersion) {
            reason = "it has version " + std::to_string(version) + ", not " + std::to_string(kSchemaVersion);
        } else if (const std::string damage = db->text("PRAGMA quick_check(1)"); damage != "ok") {
            reason = "it is damaged: " + damage;
        } else if (const auto point = db->number("SELECT value FROM facts WHERE name='point'");
                   point != own) {
            reason = "it belongs to point code " + std::to_string(point) + ", not " + std::to_string(own);
        } else {
            return db;
        }
    } catch (const DatabaseError& error) {
        reason = std::string("it can't be read: ") + error.what();
    }
    return nullptr;
}

void TrunkLedger::transact(const std::function<void(Database&)>& work) {
    if (!db_) return;
    try {
        db_->run("BEGIN IMMEDIATE");
        work(*db_);
        db_->run("COMMIT");
    } catch (const DatabaseError& error) {
        log_(std::string("ledger: ") + error.what() + "; nothing more will be remembered");
        db_ = nullptr;
    }
}

std::uint32_t TrunkLedger::next_incarnation(std::uint32_t at_least) {
    std::int64_t incarnation = at_least;
    transact([&incarnation](Database& db) {
        incarnation = std::max(incarnation, db.number("SELECT value FROM facts WHERE name='life'") + 1);
        db.execute("INSERT OR REPLACE INTO facts VALUES ('life', ?)", incarnation);
    });
    return static_cast<std::uint32_t>(incarnation);
}

std::vector<trunk::LedgerCall> TrunkLedger::calls() {
    std::map<std::uint32_t, std::map<trunk::CircuitNumber, trunk::LedgerCall>> by_group;
    transact([&by_group](Database& db) {
        db.for_each_row("SELECT grp, circuit, ref, circuits, call, outgoing, at, origin FROM places",
                        [&by_group](const Database::Row& row) {
                            trunk::LedgerCall call;
                            call.group = static_cast<std::uint32_t>(row.number(0));
                            call.claim.call = static_cast<trunk::CallRef>(row.number(2));
                            call.claim.circuits = to_circuits(row.text(3));
                            call.call = row.text(4);
                            call.outgoing = row.number(5) != 0;
                            call.exchange = row.text(6);
                            call.origin = row.text(7);
                            by_group[call.group][static_cast<trunk::CircuitNumber>(row.number(1))] =
                                std::move(call);
                        });
    });
    std::vector<trunk::LedgerCall> found;
    for (const auto& [group, entries] : by_group)
        for (trunk::LedgerCall& call : trunk::complete_calls(entries)) found.push_back(std::move(call));
    return found;
}

std::vector<TrunkLedger::BlockedCircuit> TrunkLedger::blocked() {
    std::vector<BlockedCircuit> found;
    transact([&found](Database& db) {
        db.for_each_row("SELECT grp, circuit, blocking FROM blocked", [&found](const Database::Row& row) {
            if (row.number(2) < 1 || row.number(2) > 2) return;
            found.push_back({static_cast<std::uint32_t>(row.number(0)),
                             static_cast<trunk::CircuitNumber>(row.number(1)),
                             static_cast<trunk::Blocking>(row.number(2))});
        });
    });
    return found;
}

void TrunkLedger::store_call(const trunk::LedgerCall& call) {
    transact([&call](Database& db) {
        for (const trunk::CircuitNumber n : call.claim.circuits)
            db.execute("INSERT OR REPLACE INTO places VALUES (?, ?, ?, ?, ?, ?, ?, ?)",
                       static_cast<std::int64_t>(call.group), static_cast<std::int64_t>(n),
                       static_cast<std::int64_t>(call.claim.call), to_text(call.claim.circuits), call.call,
                       static_cast<std::int64_t>(call.outgoing), call.exchange, call.origin);
    });
}

void TrunkLedger::remove_call(std::uint32_t group, const trunk::Claim& claim) {
    transact([&](Database& db) {
        for (const trunk::CircuitNumber n : claim.circuits)
            db.execute("DELETE FROM places WHERE grp=? AND circuit=? AND ref=?",
                       static_cast<std::int64_t>(group), static_cast<std::int64_t>(n),
                       static_cast<std::int64_t>(claim.call));
    });
}

void TrunkLedger::store_blocking(std::uint32_t group, trunk::CircuitNumber circuit,
                                 trunk::Blocking blocking) {
    transact([&](Database& db) {
        if (blocking == trunk::Blocking::none)
            db.execute("DELETE FROM blocked WHERE grp=? AND circuit=?", static_cast<std::int64_t>(group),
                       static_cast<std::int64_t>(circuit));
        else
            db.execute("INSERT OR REPLACE INTO blocked VALUES (?, ?, ?)", static_cast<std::int64_t>(group),
                       static_cast<std::int64_t>(circuit), static_cast<std::int64_t>(blocking));
    });
}

}  // namespace nettlestall::store
