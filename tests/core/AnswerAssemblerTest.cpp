// Guards against answers that are put together wrongly, or grow without bound, when a caller did not ask for a stream.
#include "core/AnswerAssembler.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using Json = nlohmann::json;

namespace {

std::string chatEvent(const std::string& text, const Json& finish = nullptr)
{
    return Json {
        { "id", "cmpl-1" }, { "model", "m" },
        { "choices", { { { "index", 0 }, { "delta", { { "content", text } } }, { "finish_reason", finish } } } }
    }.dump();
}

} // namespace

TEST_GROUP(AnswerAssembler) {};

TEST(AnswerAssembler, JoinsContentAndKeepsTheFinishReason)
{
    AnswerAssembler assembler(true, 1000);
    CHECK(assembler.add(chatEvent("Red ")));
    CHECK(assembler.add(chatEvent("paint", "stop")));
    auto answer = Json::parse(assembler.answer());
    STRCMP_EQUAL("Red paint", answer["choices"][0]["message"]["content"].get<std::string>().c_str());
    STRCMP_EQUAL("stop", answer["choices"][0]["finish_reason"].get<std::string>().c_str());
    STRCMP_EQUAL("cmpl-1", answer["id"].get<std::string>().c_str());
}

TEST(AnswerAssembler, JoinsToolCallArgumentsByIndex)
{
    AnswerAssembler assembler(true, 1000);
    CHECK(
        assembler.add(R"({"choices":[{"delta":{"tool_calls":[{"index":1,"id":"b","function":{"name":"find","arguments":"{\"a\""}}]}}]})"));
    CHECK(assembler.add(R"({"choices":[{"delta":{"tool_calls":[{"index":1,"function":{"arguments":":1}"}}]}}]})"));
    auto calls = Json::parse(assembler.answer())["choices"][0]["message"]["tool_calls"];
    STRCMP_EQUAL("{\"a\":1}", calls[1]["function"]["arguments"].get<std::string>().c_str());
}

TEST(AnswerAssembler, DropsTextBeyondItsBound)
{
    AnswerAssembler assembler(true, 10);
    for (int i = 0; i < 100; ++i)
        assembler.add(chatEvent("0123456789"));
    CHECK(!assembler.isWhole());
    CHECK(assembler.answer().size() < 400);
}

TEST(AnswerAssembler, RefusesWhatIsNoEvent)
{
    AnswerAssembler assembler(false, 10);
    CHECK(!assembler.add("nonsense"));
    CHECK(!assembler.add("[1]"));
}

TEST(AnswerAssembler, EventsEndWithTheTerminator)
{
    AnswerAssembler assembler(false, 100);
    assembler.add(R"({"choices":[{"text":"abc","finish_reason":"length"}]})");
    CHECK(assembler.events().ends_with("data: [DONE]\n\n"));
    CHECK(assembler.events().find("\"text\":\"abc\"") != std::string::npos);
}
