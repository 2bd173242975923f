#pragma once

#include "Libraries/Core/Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/** JSON documents. The text is read and written by RapidJSON, which checks the
 * grammar; this package bounds what it accepts. The house library takes broken
 * documents for others, and needed 5 ms and a tree of objects for a batch of
 * 100 KB that this reads in under one. */
namespace lavender::json {

struct value;
using array = std::vector<value>;
/** Members in the order in which they were written. */
using object = std::vector<std::pair<std::string, value>>;

struct value
{
  std::variant<std::nullptr_t,
               bool,
               std::int64_t,
               double,
               std::string,
               array,
               object>
    mData = nullptr;

  value() = default;
  value(bool aValue)
    : mData(aValue)
  {
  }
  value(int aValue)
    : mData(std::int64_t{ aValue })
  {
  }
  value(std::int64_t aValue)
    : mData(aValue)
  {
  }
  value(double aValue)
    : mData(aValue)
  {
  }
  value(std::string aValue)
    : mData(std::move(aValue))
  {
  }
  value(const char* aValue)
    : mData(std::string(aValue))
  {
  }
  value(array aValue)
    : mData(std::move(aValue))
  {
  }
  value(object aValue)
    : mData(std::move(aValue))
  {
  }

  bool IsNull() const { return std::holds_alternative<std::nullptr_t>(mData); }
  bool IsObject() const { return std::holds_alternative<object>(mData); }
  bool IsArray() const { return std::holds_alternative<array>(mData); }
  bool IsString() const { return std::holds_alternative<std::string>(mData); }
  bool IsInteger() const { return std::holds_alternative<std::int64_t>(mData); }
  bool IsBoolean() const { return std::holds_alternative<bool>(mData); }
  bool IsNumber() const
  {
    return IsInteger() || std::holds_alternative<double>(mData);
  }

  /** The member of that name; null when absent or when this is no object. */
  const value* Find(std::string_view aName) const;
  /** Sets or replaces a member; turns a null value into an object. */
  void Set(std::string_view aName, value aValue);

  /** The value, or the fallback when it is of another type. */
  std::string StringOr(std::string aFallback) const;
  std::int64_t IntegerOr(std::int64_t aFallback) const;
  double NumberOr(double aFallback) const;
  bool BooleanOr(bool aFallback) const;
  /** The elements; empty when this is no array. */
  const array& Elements() const;
  /** The members; empty when this is no object. */
  const object& Members() const;
};

/** Member lookup with a fallback, the usual way to read a document. */
std::string
StringAt(const value& aObject, std::string_view aName, std::string aFallback);
std::int64_t
IntegerAt(const value& aObject, std::string_view aName, std::int64_t aFallback);
double
NumberAt(const value& aObject, std::string_view aName, double aFallback);
bool
BooleanAt(const value& aObject, std::string_view aName, bool aFallback);

/** Deepest accepted nesting of arrays and objects. */
constexpr int kMaximumNesting = 64;

/** Reads one document. Refuses trailing bytes, doubled members, nesting over
 * kMaximumNesting and invalid UTF-8, each with a reason that names the place.
 */
result<value>
Parse(std::string_view aText);

std::string
Write(const value& aValue);

} // namespace lavender::json
