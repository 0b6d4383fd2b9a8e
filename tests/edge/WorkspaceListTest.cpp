// Keys of requests where the configuration has no list of workspaces, an empty one, or one that comes and goes.
#include "EdgeWorld.h"
#include "platform/Decode.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::edge;

namespace {

constexpr const char* keyed = R"([{"name":"inspectors","api_keys":["key-1"]}])";

// `list` is the value of the field; empty: the field is absent.
std::string configuration(int version, const std::string& list)
{
    const std::string route
        = R"({"host":"paint.example","route_type":"idempotent","timeout_ms":3000,"target_latency_ms":400,"service":"drafts",)";
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route + R"("name":"keyed","prefix":"/plain/"},)" + route
        + R"("name":"open","prefix":"/open/","anonymous":true}],"services":[{"name":"drafts"}])"
        + (list.empty() ? "" : R"(,"tenants":)" + list) + "}";
}

} // namespace

TEST_GROUP(WorkspaceList)
{
    EdgeWorld world;
    int version = 0;

    void setup() override { this->world.addRunner("r1"); }
    bool apply(const std::string& list)
    {
        ++this->version;
        auto decoded = platform::decodeCatalog(configuration(this->version, list), static_cast<uint64_t>(this->version));
        if (decoded.value)
            this->world.setCatalog(std::move(*decoded.value));
        return decoded.value.has_value();
    }
    unsigned ask(const std::string& path, const std::string& key)
    {
        static int attempts = 0;
        const auto answer
            = this->world.send(path, "a" + std::to_string(++attempts), key.empty() ? "" : "Guavapond-Key: " + key + "\r\n", "GET", "");
        CHECK(this->world.runUntilEnded(answer));
        return answer->status;
    }
};

// Guards against a configuration that takes the last workspace away and thereby lets every key pass, or none at all.
TEST(WorkspaceList, AnEmptyListLetsNoKeyPass)
{
    CHECK(apply(keyed));
    LONGS_EQUAL(200, ask("/plain/a", "key-1"));
    LONGS_EQUAL(401, ask("/plain/a", "never-held"));
    for (const char* const empty : { "[]", "null" }) {
        CHECK(apply(empty));
        for (const char* const key : { "key-1", "never-held", "" })
            LONGS_EQUAL_TEXT(401, ask("/plain/a", key), empty);
        LONGS_EQUAL_TEXT(200, ask("/open/a", ""), "a route without keys stays open");
    }
    CHECK(apply(keyed));
    LONGS_EQUAL(200, ask("/plain/a", "key-1"));
    LONGS_EQUAL(401, ask("/plain/a", "never-held"));
}

// Guards against asking for keys where the configuration has no list of workspaces.
TEST(WorkspaceList, WithoutAListNoKeyIsNeeded)
{
    CHECK(apply(""));
    LONGS_EQUAL(200, ask("/plain/a", ""));
    LONGS_EQUAL(200, ask("/plain/a", "any"));
}

// Guards against a value of another type that is read as no list.
TEST(WorkspaceList, AValueOfAnotherTypeIsNoConfiguration)
{
    CHECK(apply(keyed));
    for (const char* const wrong :
        { "{}", "false", "0", "\"\"", "[{}]", R"([{"name":"x","api_keys":null}])", R"({"a":{"name":"x","api_keys":[]}})" }) {
        CHECK_FALSE_TEXT(apply(wrong), wrong);
        LONGS_EQUAL_TEXT(401, ask("/plain/a", "never-held"), wrong);
    }
}
