// Tests of the log and of the audit trail's file.
#include "adapters/Logging.h"
#include "adapters/AuditLog.h"

#include <filesystem>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using nlohmann::json;

namespace {

struct Folder {
    std::filesystem::path path;

    Folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "guavapond-XXXXXX").string();
        this->path = ::mkdtemp(name.data());
    }
    ~Folder() { std::filesystem::remove_all(this->path); }
    std::string file(const std::string& name) const { return (this->path / name).string(); }
    std::vector<json> lines(const std::string& name) const
    {
        std::ifstream in(file(name));
        std::vector<json> result;
        for (std::string line; std::getline(in, line);)
            result.push_back(json::parse(line, nullptr, false));
        return result;
    }
    size_t files() const
    {
        const std::filesystem::directory_iterator all(this->path);
        return static_cast<size_t>(std::distance(begin(all), end(all)));
    }
};

// Standard output as a pipe that nobody reads until `readAll`.
class UnreadOutput {
public:
    UnreadOutput()
        : saved(::dup(STDOUT_FILENO))
    {
        std::fflush(stdout);
        CHECK_EQUAL(0, ::pipe(this->ends));
        ::dup2(this->ends[1], STDOUT_FILENO);
        ::close(this->ends[1]);
    }
    // Reads while `finish` lets the writer end, then gives standard output back.
    std::string readAll(const std::function<void()>& finish)
    {
        std::string text;
        std::thread reader([&] {
            char bytes[4096];
            for (ssize_t count = 0; (count = ::read(this->ends[0], bytes, sizeof(bytes))) > 0;)
                text.append(bytes, static_cast<size_t>(count));
        });
        finish();
        std::fflush(stdout);
        ::dup2(this->saved, STDOUT_FILENO);
        ::close(this->saved);
        reader.join();
        ::close(this->ends[0]);
        return text;
    }

private:
    int saved;
    int ends[2] {};
};

std::vector<AuditEntry> entries(uint64_t from, uint64_t to)
{
    std::vector<AuditEntry> list;
    for (uint64_t i = from; i <= to; ++i)
        list.push_back(
            { "e" + std::to_string(i), i, 1, "who", "where", "why \"quoted\"\n", { { "targets/a.state", "active", "draining" } }, 0 });
    return list;
}

} // namespace

TEST_GROUP(Logging) { Folder folder; };

// Guards against lines that programs can't parse: quotes, line breaks and bytes that are not UTF-8.
TEST(Logging, EachLineIsOneJsonObject)
{
    startLogging({ .file = folder.file("log"), .level = "info", .maxBytes = 1 << 20, .files = 2, .node = "n\"1" });
    log(LogLevel::Info, "first \"quoted\"\nline", { { "target", "runner\\1" }, { "count", 3 }, { "ratio", 0.5 }, { "ok", true } });
    log(LogLevel::Debug, "below the level");
    log(LogLevel::Error, "bad \xff byte");
    startLogging({});
    const std::vector<json> lines = folder.lines("log");
    LONGS_EQUAL(2, lines.size());
    CHECK(lines[0]["message"] == "first \"quoted\"\nline" && lines[0]["target"] == "runner\\1" && lines[0]["count"] == 3);
    CHECK(lines[0]["ratio"] == 0.5 && lines[0]["ok"] == true && lines[0]["node"] == "n\"1" && lines[0]["level"] == "INFO");
    CHECK(lines[1].is_object() && lines[1]["level"] == "ERROR");
}

// Guards against a log that fills the disk.
TEST(Logging, FilesAreRotatedAndBounded)
{
    startLogging({ .file = folder.file("log"), .level = "info", .maxBytes = 4096, .files = 2, .node = "" });
    for (int i = 0; i < 400; ++i)
        log(LogLevel::Info, "a line of some length, so that the file has to be rotated", { { "i", i } });
    startLogging({});
    LONGS_EQUAL(3, folder.files());
    CHECK(std::filesystem::file_size(folder.file("log.1")) < 3 * 4096);
    CHECK(folder.lines("log").back()["i"] == 399);
}

// Guards against an output that nobody reads: it must not hold a request up, and what is missing in the log has to be told.
TEST(Logging, DropsAndCountsLinesInsteadOfWaiting)
{
    constexpr size_t lines = 20000;
    UnreadOutput output;
    startLogging({ .file = "", .level = "info", .maxBytes = 0, .files = 0, .node = "", .asyncLines = 512 });
    const auto started = std::chrono::steady_clock::now();
    for (size_t i = 0; i < lines; ++i)
        log(LogLevel::Info, "a line of some length, so that the pipe and the waiting lines are full soon", { { "i", i } });
    const auto elapsed = std::chrono::steady_clock::now() - started;
    std::istringstream text(output.readAll([] { startLogging({}); }));
    CHECK(elapsed < std::chrono::seconds(5));
    size_t written = 0;
    size_t dropped = 0;
    for (std::string line; std::getline(text, line);) {
        const json entry = json::parse(line, nullptr, false);
        CHECK_TEXT(entry.is_object(), line.c_str());
        if (entry.contains("i"))
            ++written;
        else if (entry.contains("message")) {
            const std::string message = entry["message"];
            const size_t digit = message.find_first_of("0123456789");
            CHECK_TEXT(digit != std::string::npos, message.c_str());
            dropped += std::stoul(message.substr(digit));
        }
    }
    CHECK(dropped > 0);
    LONGS_EQUAL(lines, written + dropped);
}

// Guards against an entry that is written twice after a restart, or lost behind a line that a crash cut short.
TEST(Logging, AuditTrailContinuesAfterARestart)
{
    const AuditLogSettings settings { folder.file("audit"), 1 << 20, 2 };
    CHECK(AuditLog(settings).record(entries(1, 3)));
    std::ofstream(settings.file, std::ios::app) << "{\"revision\":9";
    AuditLog restarted(settings);
    LONGS_EQUAL(3, restarted.lastRevision());
    CHECK(restarted.record(entries(2, 5)));
    const std::vector<json> lines = folder.lines("audit");
    LONGS_EQUAL(6, lines.size());
    CHECK(lines[3].is_discarded());
    CHECK(lines[4]["revision"] == 4 && lines[5]["reason"] == "why \"quoted\"\n");
    CHECK(lines[5]["cells"][0]["new"] == "draining");
}

// Guards against an audit trail that fills the disk, and against one that reports success without a file.
TEST(Logging, AuditTrailIsBoundedAndReportsFailure)
{
    AuditLog bounded({ folder.file("audit"), 1000, 2 });
    CHECK(bounded.record(entries(1, 100)));
    LONGS_EQUAL(3, folder.files());
    CHECK(std::filesystem::file_size(folder.file("audit")) <= 1000);
    CHECK(folder.lines("audit").back()["revision"] == 100);
    LONGS_EQUAL(100, AuditLog({ folder.file("audit"), 1000, 2 }).lastRevision());

    AuditLog failing({ folder.file("absent/audit"), 1000, 2 });
    CHECK(!failing.record(entries(1, 1)));
    LONGS_EQUAL(0, failing.lastRevision());
}
