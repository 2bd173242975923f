#include "Libraries/Json/Value.h"

#include <cmath>
#include <limits>
#include <rapidjson/encodedstream.h>
#include <rapidjson/error/en.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <unordered_set>

namespace lavender::json {
namespace {

/** Larger reals are written as integers whose last digits are lost, so that
 * they would be parsed as other numbers. */
constexpr double kLargestReal = 9.2e18;

/** Maximum memory of a document's values, in bytes, apart from the texts in
 * them. A text of "[1,1," has twenty times its size as a document. */
constexpr std::size_t kMaximumValueBytes = 32 << 20;

/** An object with so many members has an index of their names while it is
 * parsed. */
constexpr std::size_t kIndexedMembers = 32;

/** Builds the document from the events of RapidJSON's reader. A handler returns
 * false to stop parsing, with the reason in mProblem. */
class builder
{
public:
  using Ch = char; // NOLINT

  bool Null() { return Add({}); }
  bool Bool(bool aFlag) { return Add(aFlag); }
  bool Int(int aNumber) { return Add(std::int64_t{ aNumber }); }
  bool Uint(unsigned aNumber) { return Add(std::int64_t{ aNumber }); }
  bool Int64(std::int64_t aNumber) { return Add(aNumber); }
  bool Uint64(std::uint64_t aNumber)
  {
    constexpr auto kLargest =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    return aNumber > kLargest ? Refuse("number out of range")
                              : Add(static_cast<std::int64_t>(aNumber));
  }
  bool Double(double aNumber)
  {
    if (!std::isfinite(aNumber) || std::abs(aNumber) >= kLargestReal) {
      return Refuse("number out of range");
    }
    return Add(aNumber);
  }
  bool RawNumber(const char*, rapidjson::SizeType, bool) { return false; }
  bool String(const char* aText, rapidjson::SizeType aSize, bool)
  {
    return Add(std::string(aText, aSize));
  }
  bool StartObject() { return Open(object{}); }
  bool Key(const char* aText, rapidjson::SizeType aSize, bool)
  {
    std::string name(aText, aSize);
    if (name.empty()) {
      return Refuse("member name empty");
    }
    if (!IsNewMember(name)) {
      return Refuse("member given twice: " + name);
    }
    if (!HasRoomFor(sizeof(object::value_type))) {
      return Refuse("too many values");
    }
    mName = std::move(name);
    return true;
  }
  bool EndObject(rapidjson::SizeType) { return Close(); }
  bool StartArray() { return Open(array{}); }
  bool EndArray(rapidjson::SizeType) { return Close(); }

  value mDocument;
  std::string mProblem;

private:
  struct open_container
  {
    value* mValue = nullptr;
    /** Names of the members; empty while there are few. */
    std::unordered_set<std::string> mNames;
  };

  /** Whether the innermost object, which gets this member next, has none of
   * that name. */
  bool IsNewMember(const std::string& aName)
  {
    auto& [container, names] = mOpen.back();
    const auto& members = std::get<object>(container->mData);
    if (members.size() < kIndexedMembers) {
      return !container->Find(aName);
    }
    if (names.empty()) {
      for (const auto& [name, member] : members) {
        names.insert(name);
      }
    }
    return names.insert(aName).second;
  }

  bool HasRoomFor(std::size_t aBytes)
  {
    mValueBytes += aBytes;
    return mValueBytes <= kMaximumValueBytes;
  }

  bool Refuse(std::string aProblem)
  {
    mProblem = std::move(aProblem);
    return false;
  }

  value& Insert(value aValue)
  {
    if (mOpen.empty()) {
      mDocument = std::move(aValue);
      return mDocument;
    }
    auto& container = *mOpen.back().mValue;
    if (auto* members = std::get_if<object>(&container.mData)) {
      members->emplace_back(std::move(mName), std::move(aValue));
      return members->back().second;
    }
    auto& elements = std::get<array>(container.mData);
    elements.push_back(std::move(aValue));
    return elements.back();
  }

  bool Add(value aValue)
  {
    if (!HasRoomFor(sizeof(value))) {
      return Refuse("too many values");
    }
    Insert(std::move(aValue));
    return true;
  }

  bool Open(value aContainer)
  {
    if (mOpen.size() >= static_cast<std::size_t>(kMaximumNesting)) {
      return Refuse("nested too deep");
    }
    if (!HasRoomFor(sizeof(value))) {
      return Refuse("too many values");
    }
    mOpen.push_back({ &Insert(std::move(aContainer)), {} });
    return true;
  }

  bool Close()
  {
    mOpen.pop_back();
    return true;
  }

  /** Containers that aren't closed yet, outermost first. The pointers stay
   * valid because only the innermost container grows. */
  std::vector<open_container> mOpen;
  std::string mName;
  std::size_t mValueBytes = 0;
};

using writer = rapidjson::Writer<rapidjson::StringBuffer>;

void
WriteValue(writer& aWriter, const value& aValue)
{
  if (const auto* members = std::get_if<object>(&aValue.mData)) {
    aWriter.StartObject();
    for (const auto& [name, member] : *members) {
      aWriter.Key(name.data(), static_cast<rapidjson::SizeType>(name.size()));
      WriteValue(aWriter, member);
    }
    aWriter.EndObject();
  } else if (const auto* elements = std::get_if<array>(&aValue.mData)) {
    aWriter.StartArray();
    for (const auto& element : *elements) {
      WriteValue(aWriter, element);
    }
    aWriter.EndArray();
  } else if (const auto* text = std::get_if<std::string>(&aValue.mData)) {
    aWriter.String(text->data(),
                   static_cast<rapidjson::SizeType>(text->size()));
  } else if (const auto* flag = std::get_if<bool>(&aValue.mData)) {
    aWriter.Bool(*flag);
  } else if (const auto* number = std::get_if<std::int64_t>(&aValue.mData)) {
    aWriter.Int64(*number);
  } else if (const auto* real = std::get_if<double>(&aValue.mData)) {
    aWriter.Double(*real);
  } else {
    aWriter.Null();
  }
}

} // namespace

const value*
value::Find(std::string_view aName) const
{
  if (const auto* members = std::get_if<object>(&mData)) {
    for (const auto& [name, member] : *members) {
      if (name == aName) {
        return &member;
      }
    }
  }
  return nullptr;
}

void
value::Set(std::string_view aName, value aValue)
{
  if (!IsObject()) {
    mData = object{};
  }
  auto& members = std::get<object>(mData);
  for (auto& [name, member] : members) {
    if (name == aName) {
      member = std::move(aValue);
      return;
    }
  }
  members.emplace_back(std::string(aName), std::move(aValue));
}

std::string
value::StringOr(std::string aFallback) const
{
  const auto* text = std::get_if<std::string>(&mData);
  return text ? *text : std::move(aFallback);
}

std::int64_t
value::IntegerOr(std::int64_t aFallback) const
{
  const auto* number = std::get_if<std::int64_t>(&mData);
  return number ? *number : aFallback;
}

double
value::NumberOr(double aFallback) const
{
  if (const auto* number = std::get_if<std::int64_t>(&mData)) {
    return static_cast<double>(*number);
  }
  const auto* real = std::get_if<double>(&mData);
  return real ? *real : aFallback;
}

bool
value::BooleanOr(bool aFallback) const
{
  const auto* flag = std::get_if<bool>(&mData);
  return flag ? *flag : aFallback;
}

const array&
value::Elements() const
{
  static const array kNone;
  const auto* elements = std::get_if<array>(&mData);
  return elements ? *elements : kNone;
}

const object&
value::Members() const
{
  static const object kNone;
  const auto* members = std::get_if<object>(&mData);
  return members ? *members : kNone;
}

std::string
StringAt(const value& aObject, std::string_view aName, std::string aFallback)
{
  const value* member = aObject.Find(aName);
  return member ? member->StringOr(std::move(aFallback)) : aFallback;
}

std::int64_t
IntegerAt(const value& aObject, std::string_view aName, std::int64_t aFallback)
{
  const value* member = aObject.Find(aName);
  return member ? member->IntegerOr(aFallback) : aFallback;
}

double
NumberAt(const value& aObject, std::string_view aName, double aFallback)
{
  const value* member = aObject.Find(aName);
  return member ? member->NumberOr(aFallback) : aFallback;
}

bool
BooleanAt(const value& aObject, std::string_view aName, bool aFallback)
{
  const value* member = aObject.Find(aName);
  return member ? member->BooleanOr(aFallback) : aFallback;
}

result<value>
Parse(std::string_view aText)
{
  // The iterative parser uses no stack for nesting. RapidJSON's reader reports
  // trailing bytes and invalid UTF-8 as errors.
  constexpr unsigned kFlags = rapidjson::kParseIterativeFlag |
                              rapidjson::kParseValidateEncodingFlag |
                              rapidjson::kParseFullPrecisionFlag;
  rapidjson::MemoryStream bytes(aText.data(), aText.size());
  rapidjson::EncodedInputStream<rapidjson::UTF8<>, rapidjson::MemoryStream>
    input(bytes);
  rapidjson::Reader reader;
  builder built;
  const auto outcome = reader.Parse<kFlags>(input, built);
  if (outcome.IsError()) {
    if (outcome.Code() == rapidjson::kParseErrorNumberTooBig) {
      built.mProblem = "number out of range";
    }
    const std::string problem = built.mProblem.empty()
                                  ? rapidjson::GetParseError_En(outcome.Code())
                                  : built.mProblem;
    return Fail<value>(problem + " at byte " +
                       std::to_string(outcome.Offset()));
  }
  return Succeed(std::move(built.mDocument));
}

std::string
Write(const value& aValue)
{
  rapidjson::StringBuffer buffer;
  writer output(buffer);
  WriteValue(output, aValue);
  return { buffer.GetString(), buffer.GetSize() };
}

} // namespace lavender::json
