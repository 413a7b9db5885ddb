// The ledger's file: what is noted is there again, and what can't be trusted is set aside and named.
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

struct Folder {
    std::string path = "/tmp/ledger_test." + std::to_string(getpid()) + '.' + std::to_string(++count());
    std::vector<std::string> notes;
    Folder() { fs::create_directories(path); }
    ~Folder() { fs::remove_all(path); }
    std::string file() const { return path + "/trunk-10.ledger"; }
    TrunkLedger open(int point = 10) {
        return TrunkLedger(path, point, [this](const std::string& text) { notes.push_back(text); });
    }
    bool noted(const std::string& text) const {
        return notes.size() == 1 && notes[0].find(text) != std::string::npos;
    }
    static int& count() {
        static int folders = 0;
        return folders;
    }
};

const LedgerCall kOne{7, {1ull << 63 | 5, {1, 4}}, "00000000000000aa", true, "", "127.0.0.1"};
const LedgerCall kTwo{7, {6, {2}}, "00000000000000bb", false, "lines-1", ""};

void what_is_noted_is_there_again() {
    Folder folder;
    {
        TrunkLedger ledger = folder.open();
        CHECK(ledger.is_open() && ledger.calls().empty() && ledger.next_incarnation(100) == 100);
        ledger.store_call(kOne), ledger.store_call(kTwo);
        ledger.store_blocking(7, 3, trunk::Blocking::hard),
            ledger.store_blocking(7, 9, trunk::Blocking::soft);
        ledger.store_blocking(7, 9, trunk::Blocking::none);
    }
    TrunkLedger again = folder.open();
    CHECK((again.calls() == std::vector<LedgerCall>{kOne, kTwo}) && again.next_incarnation(5) == 101);
    CHECK(again.blocked().size() == 1 && again.blocked()[0].circuit == 3);
    again.remove_call(7, kTwo.claim);
    // A later call on one of its circuits: the older one is not whole any more.
    LedgerCall later = kTwo;
    later.claim = {8, {4}};
    again.store_call(later);
    CHECK(again.calls() == std::vector<LedgerCall>{later});
    again.remove_call(7, kOne.claim);  // leaves the place of the later one alone
    CHECK(again.calls() == std::vector<LedgerCall>{later} && folder.notes.empty());
}

// A process that dies leaves no half notes: its files as they were at any moment can be read.
void a_process_that_dies_leaves_it_whole() {
    Folder folder, copy;
    TrunkLedger ledger = folder.open();
    for (int i = 1; i <= 50; ++i) {
        LedgerCall call = kTwo;
        call.claim = {static_cast<trunk::CallRef>(i), {i}};
        ledger.store_call(call);
        if (i % 10) continue;
        for (const char* end : {"", "-wal"})
            fs::copy_file(folder.file() + end, copy.file() + end, fs::copy_options::overwrite_existing);
        fs::remove(copy.file() + "-shm");
        CHECK(static_cast<int>(copy.open().calls().size()) == i);
    }
    CHECK(copy.notes.empty());
}

void what_cannot_be_trusted_is_set_aside() {
    const auto spoil = [](const char* expected, const std::function<void(const std::string&)>& work) {
        Folder folder;
        {
            TrunkLedger ledger = folder.open();
            for (int i = 1; i <= 200; ++i) {
                LedgerCall call = kTwo;
                call.claim = {static_cast<trunk::CallRef>(i), {i}};
                ledger.store_call(call);
            }
        }
        work(folder.file());
        TrunkLedger ledger = folder.open();
        CHECK(folder.noted(expected) && folder.noted("set aside as " + folder.file() + ".set-aside-1"));
        CHECK(ledger.is_open() && ledger.calls().empty() && fs::exists(folder.file() + ".set-aside-1"));
        ledger.store_call(kOne);
        CHECK(ledger.calls().size() == 1);
    };
    const auto change = [](const std::string& file, const char* statement) {
        sqlite3* db = nullptr;
        CHECK(sqlite3_open(file.c_str(), &db) == SQLITE_OK);
        CHECK(sqlite3_exec(db, statement, nullptr, nullptr, nullptr) == SQLITE_OK);
        sqlite3_close(db);
    };
    spoil("it can't be read", [](const std::string& file) { std::ofstream(file) << std::string(9000, 'x'); });
    spoil("torn", [](const std::string& file) {
        std::fstream bytes(file, std::ios::in | std::ios::out | std::ios::binary);
        bytes.seekp(4096 * 4);
        bytes << std::string(static_cast<std::size_t>(fs::file_size(file)) - 4096 * 4, '\x55');
    });
    spoil("", [](const std::string& file) { fs::resize_file(file, 5000); });  // cut off
    spoil("of another program", [&](const std::string& f) { change(f, "PRAGMA application_id=77"); });
    spoil("of version 0", [&](const std::string& f) { change(f, "PRAGMA user_version=0"); });
    spoil("of point code 11",
          [&](const std::string& f) { change(f, "UPDATE facts SET value=11 WHERE name='point'"); });
}

void without_a_folder_it_remembers_nothing() {
    std::vector<std::string> notes;
    TrunkLedger ledger("/nonexistent/folder", 10,
                       [&notes](const std::string& text) { notes.push_back(text); });
    CHECK(!ledger.is_open() && notes.size() == 1 &&
          notes[0].find("nothing will be remembered") != std::string::npos);
    ledger.store_call(kOne);
    CHECK(ledger.calls().empty() && ledger.next_incarnation(9) == 9);
}

}  // namespace

int main() {
    what_is_noted_is_there_again();
    a_process_that_dies_leaves_it_whole();
    what_cannot_be_trusted_is_set_aside();
    without_a_folder_it_remembers_nothing();
}
