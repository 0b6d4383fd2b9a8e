// Tests of the settings of a node.
#include "adapters/Settings.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;

namespace {

const std::string minimal = "[node]\nname = \"n1\"\nfailureDomain = \"palermo\"\n[platform]\nurls = [\"http://127.0.0.1:1\"]\n";

bool hasError(const SettingsResult& result, size_t line, std::string_view key, std::string_view allowed)
{
    for (const SettingsError& error : result.errors) {
        if (error.file == "f.toml" && error.line == line && error.key == key && error.allowed.find(allowed) != std::string::npos)
            return true;
    }
    return false;
}

} // namespace

TEST_GROUP(Settings) {};

// Guards against shipped examples that a node refuses.
TEST(Settings, ExamplesPass)
{
    for (const char* name : { "himal", "consorzio" }) {
        const SettingsResult result = readSettings(std::string(GUAVAPOND_SOURCE_DIR) + "/config/" + name + ".toml");
        for (const SettingsError& error : result.errors)
            FAIL(describe(error).c_str());
        CHECK(result.settings->peers.size() >= 3);
    }
}

// Guards against a key that is read into the wrong member or unit.
TEST(Settings, ValuesAndDefaults)
{
    const SettingsResult result = parseSettings(
        minimal + "timeoutMs = 1500\n[limits]\nmaxBodyBytes = 2048\n[router]\nremotePenaltyMs = 7\n[scheduler]\nwindowDecrease = 0.5\n",
        "f.toml");
    CHECK(result.settings.has_value());
    LONGS_EQUAL(1500000, result.settings->platformTimeout.count());
    LONGS_EQUAL(2048, result.settings->maxBodyBytes);
    LONGS_EQUAL(64, result.settings->maxHeaders);
    LONGS_EQUAL(7000, result.settings->router.remotePenalty.count());
    DOUBLES_EQUAL(0.5, result.settings->target.windowDecrease, 0);
}

// Guards against a start refused for one error at a time, and against errors that name no line or range.
TEST(Settings, AllErrorsAreReportedWithLineKeyAndRange)
{
    const SettingsResult result = parseSettings("[node]\n"                       // 1
                                                "name = \"n 1\"\n"               // 2
                                                "[platform]\n"                   // 3
                                                "urls = [\"ftp://x\", 5]\n"      // 4
                                                "[limits]\n"                     // 5
                                                "maxBodyByts = 5\n"              // 6
                                                "maxHeaders = 0\n"               // 7
                                                "bodyTimeoutMs = \"10 s\"\n"     // 8
                                                "[callers]\n"                    // 9
                                                "tlsCert = \"cert.pem\"\n"       // 10
                                                "port = 70000\n"                 // 11
                                                "[scheduler]\n"                  // 12
                                                "windowDecrease = nan\n"         // 13
                                                "maxHeaderBytes = 4096\n"        // 14
                                                "[loging]\n"                     // 15
                                                "level = \"info\"\n"             // 16
                                                "[[peers]]\n"                    // 17
                                                "name = \"n2\"\n"                // 18
                                                "adress = \"127.0.0.1:1\"\n"     // 19
                                                "failureDomain = \"catania\"\n", // 20
        "f.toml");
    CHECK(!result.settings);
    CHECK(hasError(result, 2, "node.name", "letters"));
    CHECK(hasError(result, 1, "node.failureDomain", "required"));
    CHECK(hasError(result, 4, "platform.urls", "http://"));
    CHECK(hasError(result, 6, "limits.maxBodyByts", "limits.maxBodyBytes"));
    CHECK(hasError(result, 7, "limits.maxHeaders", "8 to 1000"));
    CHECK(hasError(result, 8, "limits.bodyTimeoutMs", "whole number"));
    CHECK(hasError(result, 10, "callers.tlsCert", "callers.tlsKey"));
    CHECK(hasError(result, 11, "callers.port", "0 to 65535"));
    CHECK(hasError(result, 13, "scheduler.windowDecrease", "0.1 to 0.99"));
    CHECK(hasError(result, 14, "scheduler.maxHeaderBytes", "limits.maxHeaderBytes"));
    CHECK(hasError(result, 15, "loging", "nearest"));
    CHECK(hasError(result, 17, "peers[0].address", "required"));
    CHECK(hasError(result, 19, "peers[0].adress", "peers[0].address"));
    LONGS_EQUAL(14, result.errors.size());
}

// Guards against a syntax error or an absent file that ends the program without naming the place.
TEST(Settings, SyntaxErrorAndAbsentFile)
{
    CHECK(hasError(parseSettings(minimal + "[limits\n", "f.toml"), 6, "", "TOML syntax"));
    const SettingsResult absent = readSettings("/nonexistent/f.toml");
    LONGS_EQUAL(1, absent.errors.size());
    CHECK(describe(absent.errors[0]).find("/nonexistent/f.toml") == 0);
}

// Guards against two nodes under one name, and a section given as a value.
TEST(Settings, RepeatedPeerAndValueInPlaceOfASection)
{
    const std::string peer = "[[peers]]\nname = \"n1\"\naddress = \"h:1\"\nfailureDomain = \"palermo\"\n";
    CHECK(hasError(parseSettings(minimal + peer, "f.toml"), 7, "peers[0].name", "neither this node"));
    CHECK(hasError(parseSettings("log = 1\n" + minimal, "f.toml"), 1, "log", "section"));
    CHECK(hasError(parseSettings("peers = 1\n" + minimal, "f.toml"), 1, "peers", "[[peers]]"));
}
