#include "Libraries/Json/Text.h"

#include <rapidjson/encodings.h>
#include <rapidjson/memorystream.h>

namespace lavender::json {

namespace {

/** Takes the bytes that the check passes on. */
struct no_output
{
  // RapidJSON prescribes the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void Put(char) {}
};

std::size_t
WrittenSize(unsigned char aCharacter)
{
  constexpr std::size_t kShortEscape = 2;
  constexpr std::size_t kCodeEscape = 6;
  switch (aCharacter) {
    case '"':
    case '\\':
    case '\b':
    case '\f':
    case '\n':
    case '\r':
    case '\t':
      return kShortEscape;
    default:
      return aCharacter < ' ' ? kCodeEscape : 1;
  }
}

} // namespace

bool
IsUtf8(std::string_view aText)
{
  rapidjson::MemoryStream input(aText.data(), aText.size());
  no_output output;
  while (input.Tell() < aText.size()) {
    if (!rapidjson::UTF8<>::Validate(input, output)) {
      return false;
    }
  }
  return true;
}

std::size_t
WrittenSize(std::string_view aText)
{
  std::size_t size = 0;
  for (const auto character : aText) {
    size += WrittenSize(static_cast<unsigned char>(character));
  }
  return size;
}

} // namespace lavender::json
