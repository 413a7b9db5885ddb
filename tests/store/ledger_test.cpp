// The ledger's file: stored entries can be read again, and a file that cannot be trusted is set aside and
// reported.
#include <sqlite3.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "net/check.hpp"
#include "store/trunk_ledger.hpp"

using namespace nettlestall;
using namespace nettlestall::store;
using trunk::LedgerCall;
namespace fs = std::filesystem;

namespace {

// A temporary folder, the ledger in it, and what the ledger has logged.
struct Folder {
    std::string path = "/tmp/ledger_test." + std::to_string(getpid()) + '.' + std::to_string(++count());
    std::vector<std::string> log;
    Folder() { fs::create_directories(path); }
    ~Folder() { fs::remove_all(path); }
    std::string file() const { return path + "/trunk-10.ledger"; }
    TrunkLedger open(int point = 10) {
        return TrunkLedger(path, point, [this](const std::string& text) { log.push_back(text); });
    }
    bool has_logged(const std::string& text) const {
        return log.size() == 1 && log[0].find(text) != std::string::npos;
    }
    static int& count() {
        static int folders = 0;
        return folders;
    }
};

const LedgerCall kOutgoingCall{7, {1ull << 63 | 5, {1, 4}}, "00000000000000aa", true, "", "127.0.0.1"};
const LedgerCall kIncomingCall{7, {6, {2}}, "00000000000000bb", false, "lines-1", ""};

void stored_entries_are_read_after_reopening() {
    Folder folder;
    {
        TrunkLedger ledger = folder.open();
        CHECK(ledger.is_open() && ledger.calls().empty() && ledger.next_incarnation(100) == 100);
        ledger.store_call(kOutgoingCall), ledger.store_call(kIncomingCall);
        ledger.store_blocking(7, 3, trunk::Blocking::hard),
            ledger.store_blocking(7, 9, trunk::Blocking::soft);
        ledger.store_blocking(7, 9, trunk::Blocking::none);
    }
    TrunkLedger reopened = folder.open();
    CHECK((reopened.calls() == std::vector<LedgerCall>{kOutgoingCall, kIncomingCall}) &&
          reopened.next_incarnation(5) == 101);
    CHECK(reopened.blocked().size() == 1 && reopened.blocked()[0].circuit == 3);
    reopened.remove_call(7, kIncomingCall.claim);
    // A later call is stored for one of its circuits: the earlier call is no longer complete.
    LedgerCall later = kIncomingCall;
    later.claim = {8, {4}};
    reopened.store_call(later);
    CHECK(reopened.calls() == std::vector<LedgerCall>{later});
    reopened.remove_call(7, kOutgoingCall.claim);  // leaves the entry of the later call alone
    CHECK(reopened.calls() == std::vector<LedgerCall>{later} && folder.log.empty());
}

// A process may die at any moment. Copies of its files, as it would leave them, must be readable and
// complete.
void crash_leaves_a_readable_ledger() {
    Folder folder, copy;
    TrunkLedger ledger = folder.open();
    for (int i = 1; i <= 50; ++i) {
        LedgerCall call = kIncomingCall;
        call.claim = {static_cast<trunk::CallRef>(i), {i}};
        ledger.store_call(call);
        if (i % 10) continue;
        for (const char* suffix : {"", "-wal"})
            fs::copy_file(folder.file() + suffix, copy.file() + suffix, fs::copy_options::overwrite_existing);
        fs::remove(copy.file() + "-shm");
        CHECK(static_cast<int>(copy.open().calls().size()) == i);
    }
    CHECK(copy.log.empty());
}

void unusable_file_is_set_aside() {
    // Damages a ledger with `work`; expects `expected` in the log and a new ledger in its place.
    const auto expect_set_aside = [](const char* expected,
                                     const std::function<void(const std::string&)>& work) {
        Folder folder;
        {
            TrunkLedger ledger = folder.open();
            for (int i = 1; i <= 200; ++i) {
                LedgerCall call = kIncomingCall;
                call.claim = {static_cast<trunk::CallRef>(i), {i}};
                ledger.store_call(call);
            }
        }
        work(folder.file());
        TrunkLedger ledger = folder.open();
        CHECK(folder.has_logged(expected) &&
              folder.has_logged("set aside as " + folder.file() + ".set-aside-1"));
        CHECK(ledger.is_open() && ledger.calls().empty() && fs::exists(folder.file() + ".set-aside-1"));
        ledger.store_call(kOutgoingCall);
        CHECK(ledger.calls().size() == 1);
    };
    const auto execute = [](const std::string& file, const char* statement) {
        sqlite3* db = nullptr;
        CHECK(sqlite3_open(file.c_str(), &db) == SQLITE_OK);
        CHECK(sqlite3_exec(db, statement, nullptr, nullptr, nullptr) == SQLITE_OK);
        sqlite3_close(db);
    };
    expect_set_aside("it can't be read",
                     [](const std::string& file) { std::ofstream(file) << std::string(9000, 'x'); });
    expect_set_aside("damaged", [](const std::string& file) {
        std::fstream bytes(file, std::ios::in | std::ios::out | std::ios::binary);
        bytes.seekp(4096 * 4);
        bytes << std::string(static_cast<std::size_t>(fs::file_size(file)) - 4096 * 4, '\x55');
    });
    expect_set_aside("", [](const std::string& file) { fs::resize_file(file, 5000); });  // truncated
    expect_set_aside("belongs to another program",
                     [&](const std::string& f) { execute(f, "PRAGMA application_id=77"); });
    expect_set_aside("has version 0", [&](const std::string& f) { execute(f, "PRAGMA user_version=0"); });
    expect_set_aside("belongs to point code 11", [&](const std::string& f) {
        execute(f, "UPDATE facts SET value=11 WHERE name='point'");
    });
}

void missing_folder_stores_nothing() {
    std::vector<std::string> log;
    TrunkLedger ledger("/nonexistent/folder", 10, [&log](const std::string& text) { log.push_back(text); });
    CHECK(!ledger.is_open() && log.size() == 1 &&
          log[0].find("nothing will be remembered") != std::string::npos);
    ledger.store_call(kOutgoingCall);
    CHECK(ledger.calls().empty() && ledger.next_incarnation(9) == 9);
}

}  // namespace

int main() {
    stored_entries_are_read_after_reopening();
    crash_leaves_a_readable_ledger();
    unusable_file_is_set_aside();
    missing_folder_stores_nothing();
}
