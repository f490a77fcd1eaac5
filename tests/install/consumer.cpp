// Uses the installed library: checks declarations and decodes a message.

#include <tarragonlock/connection/codec.hpp>
#include <tarragonlock/version/declarations.hpp>

#include <iostream>

int main()
{
    tarragonlock::diagnostics faults;
    const auto parsed =
        tarragonlock::declarations::parse("services: [{name: clearing}]", "inline", faults);
    const bool good = parsed && !tarragonlock::decode("");
    std::cout << (good ? "installed library works\n" : "installed library fails\n");
    return good ? 0 : 1;
}
