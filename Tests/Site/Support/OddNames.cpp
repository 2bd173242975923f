#include "Tests/Site/Support/OddNames.h"

namespace lavender::tests {

std::vector<std::string>
OddNames()
{
  constexpr std::size_t kLong = 5000;
  return { "model-2&x",
           "model-2+x",
           "model-2#x",
           "model-2 x",
           "model-2%x",
           "model-2%41x",
           "model-2%2541",
           "model-2?x=1",
           "model-2/x",
           "model-2;x",
           "model-2=x",
           "model-2\\x",
           "model-2\"x",
           "model-2\tx",
           "model-2\r\nX-A: b",
           "model-2\x7f",
           std::string("model-2\0x", 9),
           "model-2\xc3\xa9",
           "&staleOk=1",
           "?watch=1",
           "#",
           "%",
           "%zz",
           " ",
           "+",
           "/",
           "//",
           "...",
           "../main",
           "{\"a\":1}",
           std::string(kLong, 'n') };
}

} // namespace lavender::tests
