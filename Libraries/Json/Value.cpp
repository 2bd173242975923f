#include "Libraries/Json/Value.h"

#include "Libraries/Json/Syntax.h"

#include <algorithm>
#include <cmath>
#include <cxxtools/json.h>
#include <cxxtools/serializationinfo.h>
#include <cxxtools/utf8codec.h>
#include <set>
#include <sstream>

namespace lavender::json {
namespace {

using cxxtools::SerializationInfo;

/** Reals beyond this don't survive being written and read. */
constexpr double kLargestReal = 9.2e18;

bool
IsValidUtf8(std::string_view aText)
{
  for (std::size_t i = 0; i < aText.size();) {
    const auto lead = static_cast<unsigned char>(aText[i]);
    const std::size_t size = lead < 0x80         ? 1
                             : (lead >> 5) == 6  ? 2
                             : (lead >> 4) == 14 ? 3
                             : (lead >> 3) == 30 ? 4
                                                 : 0;
    if (size == 0 || i + size > aText.size()) {
      return false;
    }
    for (std::size_t k = 1; k < size; ++k) {
      if ((static_cast<unsigned char>(aText[i + k]) >> 6) != 2) {
        return false;
      }
    }
    i += size;
  }
  return true;
}

/** The library writes a member with an empty name without it, and keeps names
 * in Latin-1; neither would survive being written and read. */
bool
IsWritableName(const std::string& aName)
{
  return !aName.empty() &&
         std::all_of(aName.begin(), aName.end(), [](char aCharacter) {
           return static_cast<unsigned char>(aCharacter) < 0x80;
         });
}

result<value>
Convert(const SerializationInfo& aInfo, const std::string& aPlace)
{
  if (aInfo.category() == SerializationInfo::Array) {
    array elements;
    for (const auto& member : aInfo) {
      auto element =
        Convert(member, aPlace + "[" + std::to_string(elements.size()) + "]");
      if (!element) {
        return element;
      }
      elements.push_back(std::move(*element));
    }
    return Succeed(value(std::move(elements)));
  }
  if (aInfo.category() == SerializationInfo::Object) {
    object members;
    std::set<std::string> names;
    for (const auto& member : aInfo) {
      if (!IsWritableName(member.name())) {
        return Fail<value>("member name empty or not ASCII at " + aPlace);
      }
      const std::string place = aPlace + "." + member.name();
      if (!names.insert(member.name()).second) {
        return Fail<value>("member given twice at " + place);
      }
      auto element = Convert(member, place);
      if (!element) {
        return element;
      }
      members.emplace_back(member.name(), std::move(*element));
    }
    return Succeed(value(std::move(members)));
  }
  const std::string& type = aInfo.typeName();
  if (type == "null" || aInfo.isNull()) {
    return Succeed(value());
  }
  if (type == "bool") {
    bool flag = false;
    aInfo.getValue(flag);
    return Succeed(value(flag));
  }
  if (type == "int") {
    std::int64_t number = 0;
    try {
      long long wide = 0;
      aInfo.getValue(wide);
      number = wide;
    } catch (const std::exception&) {
      return Fail<value>("number out of range at " + aPlace);
    }
    return Succeed(value(number));
  }
  if (type == "double") {
    double number = 0;
    aInfo.getValue(number);
    // The library takes 1e400 as infinity, and writes 1e70 as a whole number
    // that it then can't read; both are refused like too large integers.
    if (!std::isfinite(number) || std::abs(number) >= kLargestReal) {
      return Fail<value>("number out of range at " + aPlace);
    }
    return Succeed(value(number));
  }
  cxxtools::String text;
  aInfo.getValue(text);
  return Succeed(value(cxxtools::Utf8Codec::encode(text)));
}

void
Fill(SerializationInfo& aInfo, const value& aValue)
{
  if (const auto* members = std::get_if<object>(&aValue.mData)) {
    aInfo.setCategory(SerializationInfo::Object);
    for (const auto& [name, member] : *members) {
      Fill(aInfo.addMember(name), member);
    }
  } else if (const auto* elements = std::get_if<array>(&aValue.mData)) {
    aInfo.setCategory(SerializationInfo::Array);
    for (const auto& element : *elements) {
      Fill(aInfo.addMember(), element);
    }
  } else if (const auto* text = std::get_if<std::string>(&aValue.mData)) {
    aInfo.setValue(cxxtools::Utf8Codec::decode(*text));
    aInfo.setTypeName("string");
  } else if (const auto* flag = std::get_if<bool>(&aValue.mData)) {
    aInfo <<= *flag;
  } else if (const auto* number = std::get_if<std::int64_t>(&aValue.mData)) {
    aInfo <<= static_cast<long long>(*number);
  } else if (const auto* real = std::get_if<double>(&aValue.mData)) {
    aInfo <<= *real;
  } else {
    aInfo.setNull();
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
  if (!IsValidUtf8(aText)) {
    return Fail<value>("invalid UTF-8");
  }
  if (auto fault = FindSyntaxFault(aText, kMaximumNesting); !fault.empty()) {
    return Fail<value>(fault);
  }
  try {
    std::istringstream input{ std::string(aText) };
    SerializationInfo info;
    cxxtools::JsonDeserializer deserializer(input);
    deserializer.deserialize(info);
    return Convert(info, "$");
  } catch (const std::exception& error) {
    return Fail<value>(error.what());
  }
}

std::string
Write(const value& aValue)
{
  SerializationInfo info;
  Fill(info, aValue);
  std::ostringstream output;
  cxxtools::JsonSerializer serializer(output);
  serializer.serialize(info).finish();
  return output.str();
}

} // namespace lavender::json
