#include "Libraries/Edge/Message.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>

namespace lavender::edge {

namespace {

std::string
InLowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aLetter) {
    return aLetter >= 'A' && aLetter <= 'Z'
             ? static_cast<char>(aLetter - 'A' + 'a')
             : aLetter;
  });
  return lower;
}

} // namespace

bool
IsSameName(std::string_view aLeft, std::string_view aRight)
{
  return boost::beast::iequals({ aLeft.data(), aLeft.size() },
                               { aRight.data(), aRight.size() });
}

const std::string*
header_list::Find(std::string_view aName) const
{
  for (const auto& [name, value] : mFields) {
    if (IsSameName(name, aName)) {
      return &value;
    }
  }
  return nullptr;
}

std::string
header_list::ValueOr(std::string_view aName, std::string aFallback) const
{
  const auto* value = Find(aName);
  return value ? *value : std::move(aFallback);
}

std::optional<long long>
header_list::Integer(std::string_view aName) const
{
  const auto* value = Find(aName);
  return value ? ParseInteger(*value) : std::nullopt;
}

void
header_list::Add(std::string aName, std::string aValue)
{
  mFields.emplace_back(std::move(aName), std::move(aValue));
}

void
header_list::Set(std::string aName, std::string aValue)
{
  Remove(aName);
  Add(std::move(aName), std::move(aValue));
}

void
header_list::Remove(std::string_view aName)
{
  mFields.erase(std::remove_if(mFields.begin(),
                               mFields.end(),
                               [&](const auto& aField) {
                                 return IsSameName(aField.first, aName);
                               }),
                mFields.end());
}

std::optional<long long>
ParseInteger(std::string_view aText)
{
  long long number = 0;
  const auto* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  if (aText.empty() || error != std::errc() || stop != end || number < 0) {
    return std::nullopt;
  }
  return number;
}

std::string_view
ReasonPhrase(unsigned aStatus)
{
  const auto phrase = boost::beast::http::obsolete_reason(
    boost::beast::http::int_to_status(aStatus));
  return { phrase.data(), phrase.size() };
}

bool
IsConnectionField(std::string_view aName)
{
  static constexpr std::array<std::string_view, 10> kNames = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
    "transfer-encoding",
    "content-length",
    "proxy-authenticate",
    "expect",
  };
  return std::any_of(kNames.begin(), kNames.end(), [&](auto aKnown) {
    return IsSameName(aKnown, aName);
  });
}

std::vector<std::string>
NamesInConnection(const header_list& aHeaders)
{
  constexpr std::string_view kBlanks = " \t";
  std::vector<std::string> names;
  for (const auto& [field, value] : aHeaders.mFields) {
    if (!IsSameName(field, "Connection")) {
      continue;
    }
    std::string_view rest = value;
    while (!rest.empty()) {
      const auto end = std::min(rest.find(','), rest.size());
      auto name = rest.substr(0, end);
      rest.remove_prefix(std::min(end + 1, rest.size()));
      name.remove_prefix(
        std::min(name.find_first_not_of(kBlanks), name.size()));
      name = name.substr(0, name.find_last_not_of(kBlanks) + 1);
      if (!name.empty()) {
        names.push_back(InLowerCase(name));
      }
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

bool
Holds(const std::vector<std::string>& aNames, std::string_view aName)
{
  return !aNames.empty() &&
         std::binary_search(aNames.begin(), aNames.end(), InLowerCase(aName));
}

std::string
endpoint::Text() const
{
  return mAddress + ":" + std::to_string(mPort);
}

std::optional<endpoint>
ParseAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto port = ParseInteger(aText.substr(colon + 1));
  boost::system::error_code error;
  const std::string address(aText.substr(0, colon));
  boost::asio::ip::make_address_v4(address, error);
  if (error || !port || *port > 65535) {
    return std::nullopt;
  }
  return endpoint{ address, static_cast<unsigned short>(*port) };
}

} // namespace lavender::edge
