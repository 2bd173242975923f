#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

/** HTTP on one event loop: a listener whose answers can be streamed, and a
 * client that tells how far a call came. Parsing is Boost.Beast's. */
namespace lavender::edge {

/** Header fields in the order in which they came; names compare without
 * regard to case. */
struct header_list
{
  std::vector<std::pair<std::string, std::string>> mFields;

  /** The first value of that name, or none. */
  const std::string* Find(std::string_view aName) const;
  std::string ValueOr(std::string_view aName, std::string aFallback) const;
  /** The value as a whole number; none when absent or malformed. */
  std::optional<long long> Integer(std::string_view aName) const;
  void Add(std::string aName, std::string aValue);
  /** Replaces all values of that name. */
  void Set(std::string aName, std::string aValue);
  void Remove(std::string_view aName);
};

bool
IsSameName(std::string_view aLeft, std::string_view aRight);

/** A whole number without sign or blanks; none for anything else. */
std::optional<long long>
ParseInteger(std::string_view aText);

struct request
{
  std::string mMethod;
  /** Path with query, as sent. */
  std::string mTarget;
  header_list mHeaders;
  std::string mBody;
  /** The caller wants to use the connection again. */
  bool mKeepsConnection = true;
};

struct response
{
  unsigned mStatus = 0;
  header_list mHeaders;
  std::string mBody;
};

/** Standard phrase of a status, for the status line. */
std::string_view
ReasonPhrase(unsigned aStatus);

/** True for fields that concern one connection only and are never forwarded
 * (RFC 9110, section 7.6.1), and for the length, which each side writes. */
bool
IsConnectionField(std::string_view aName);

struct endpoint
{
  std::string mAddress;
  unsigned short mPort = 0;

  std::string Text() const;
  bool operator==(const endpoint& aOther) const
  {
    return mPort == aOther.mPort && mAddress == aOther.mAddress;
  }
  bool operator<(const endpoint& aOther) const
  {
    return std::tie(mAddress, mPort) < std::tie(aOther.mAddress, aOther.mPort);
  }
};

/** Reads "IP:PORT"; none when it is anything else. */
std::optional<endpoint>
ParseAddress(std::string_view aText);

} // namespace lavender::edge
