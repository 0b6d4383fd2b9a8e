// Entry point of every test program. Leak detection by operator overloads is off: libraries allocate before main.
#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
