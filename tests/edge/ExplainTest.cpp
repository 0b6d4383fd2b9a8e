// Tests that explainRequest builds the timeline of a request from log lines.
#include "edge/Explain.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace guavapond::edge;

TEST_GROUP(Explain) {};

// Guards against a timeline that lacks the cause of a failure (a line about the node shortly before the request), contains lines of other
// requests or nodes, or is out of order. Lines in a log file need not be in order of time, and some lines are not JSON.
TEST(Explain, ListsRequestLinesAndNodeContextInOrderOfTime)
{
    std::istringstream log(R"(  0.1 n1 {"unixMs":9000,"level":"WARN","node":"n1","message":"store lost","reason":"refused"}
{"unixMs":1000,"level":"WARN","node":"n1","message":"peer lost","peer":"long ago"}
{"unixMs":9100,"level":"INFO","node":"n1","message":"request ended","request":"other","ms":1}
{"unixMs":9200,"level":"INFO","node":"n2","message":"peer lost","peer":"elsewhere"}
{"unixMs":9600,"level":"INFO","node":"n1","message":"request ended","request":"r","result":"refused","ms":200}
{"unixMs":9500,"level":"INFO","node":"n1","message":"run failed","request":"r","end":"declined"}
not a line
{"broken
)");
    std::ostringstream output;
    LONGS_EQUAL(2, explainRequest(log, "r", output));
    STRCMP_EQUAL("request r at n1, 200 ms\n"
                 "  -400 ms  store lost  reason=refused\n"
                 "* 100 ms  run failed  end=declined\n"
                 "* 200 ms  request ended  ms=200  result=refused\n",
        output.str().c_str());
}

TEST(Explain, ReportsRequestThatIsNotInTheLog)
{
    std::istringstream log("");
    std::ostringstream output;
    LONGS_EQUAL(0, explainRequest(log, "r", output));
    CHECK(output.str().find("no log line found for request r;") == 0);
}
