#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

/** HTTP/1.1 on one event loop: a listener whose responses can be streamed, and
 * a client that reports how a call ended. Boost.Beast parses the messages. */
namespace lavender::edge {

/** Header fields in the order received; names are case-insensitive. */
struct header_list
{
  std::vector<std::pair<std::string, std::string>> mFields;

  /** The first value with that name, or null. */
  const std::string* Find(std::string_view aName) const;
  std::string ValueOr(std::string_view aName, std::string aFallback) const;
  /** The value as a non-negative integer; none when it is missing or malformed.
   */
  std::optional<long long> Integer(std::string_view aName) const;
  void Add(std::string aName, std::string aValue);
  /** Replaces all values with that name. */
  void Set(std::string aName, std::string aValue);
  void Remove(std::string_view aName);
};

bool
IsSameName(std::string_view aLeft, std::string_view aRight);

/** Parses a non-negative integer without sign or spaces; none for any other
 * text. */
std::optional<long long>
ParseInteger(std::string_view aText);

struct request
{
  std::string mMethod;
  /** Path with query, as sent. */
  std::string mTarget;
  header_list mHeaders;
  std::string mBody;
  /** Follows mBody in a request that is sent; null if there is no more. Several
   * attempts can share it. */
  std::shared_ptr<const std::string> mSharedBody = nullptr;
  /** Whether the caller wants to reuse the connection. */
  bool mKeepsConnection = true;
};

struct response
{
  unsigned mStatus = 0;
  header_list mHeaders;
  std::string mBody;
  /** Follows mBody in a response that is sent; null if there is no more. Many
   * responses under way at the same time can share it. */
  std::shared_ptr<const std::string> mSharedBody = nullptr;
};

/** Standard reason phrase of a status code. */
std::string_view
ReasonPhrase(unsigned aStatus);

/** True for fields that apply to one connection only and are never forwarded
 * (RFC 9110, section 7.6.1), and for Content-Length, which each sender sets
 * itself. */
bool
IsConnectionField(std::string_view aName);

/** Names in the Connection fields, in lower case and sorted. These fields too
 * apply to one connection only (RFC 9110, section 7.6.1). */
std::vector<std::string>
NamesInConnection(const header_list& aHeaders);

/** Whether such a list has the name; its case doesn't matter. */
bool
Holds(const std::vector<std::string>& aNames, std::string_view aName);

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

/** Parses "IPv4:PORT"; none for any other text. */
std::optional<endpoint>
ParseAddress(std::string_view aText);

} // namespace lavender::edge
