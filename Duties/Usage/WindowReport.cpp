#include "Duties/Usage/WindowReport.h"

namespace lavender::usage {
namespace {

void
Add(wire::usage_row& aSum, const wire::usage_row& aRow)
{
  aSum.customer = aRow.customer;
  aSum.requests += aRow.requests;
  aSum.prompt_tokens += aRow.prompt_tokens;
  aSum.completion_tokens += aRow.completion_tokens;
}

void
Add(window_report& aReport, const wire::usage_bucket& aBucket)
{
  for (const auto& row : aBucket.rows) {
    if (aBucket.window == aReport.mWindow) {
      Add(aReport.mRows[row.customer], row);
    } else {
      Add(aReport.mLateRows[{ aBucket.window, row.customer }], row);
    }
  }
}

bool
IsDue(const window_report& aReport, const wire::usage_bucket& aBucket)
{
  // Older ones could be included already by marks that were dropped.
  return aBucket.window <= aReport.mWindow &&
         aBucket.window > aReport.mWindow - kKeepWindows;
}

void
DropOldMarks(usage_marks& aMarks, std::int64_t aWindow)
{
  const auto oldest = aWindow - kKeepWindows;
  for (auto mark = aMarks.mAgents.begin(); mark != aMarks.mAgents.end();) {
    mark = mark->second < oldest ? aMarks.mAgents.erase(mark) : ++mark;
  }
  for (auto mark = aMarks.mBuckets.begin(); mark != aMarks.mBuckets.end();) {
    mark = std::get<2>(*mark) < oldest ? aMarks.mBuckets.erase(mark) : ++mark;
  }
}

json::value
ToJson(const wire::usage_row& aRow)
{
  json::value row;
  row.Set("customer", aRow.customer);
  row.Set("requests", aRow.requests);
  row.Set("prompt_tokens", aRow.prompt_tokens);
  row.Set("completion_tokens", aRow.completion_tokens);
  return row;
}

wire::usage_row
ParseRow(const json::value& aValue)
{
  wire::usage_row row;
  row.customer = json::StringAt(aValue, "customer", "");
  row.requests = json::IntegerAt(aValue, "requests", 0);
  row.prompt_tokens = json::IntegerAt(aValue, "prompt_tokens", 0);
  row.completion_tokens = json::IntegerAt(aValue, "completion_tokens", 0);
  return row;
}

const json::array&
ElementsAt(const json::value& aValue, const char* aName)
{
  static const json::array kNone;
  const auto* member = aValue.Find(aName);
  return member ? member->Elements() : kNone;
}

json::value
ToJson(const usage_marks& aMarks)
{
  json::array agents;
  for (const auto& [agent, through] : aMarks.mAgents) {
    agents.push_back(json::array{ agent, through });
  }
  json::array buckets;
  for (const auto& [agent, entry, window] : aMarks.mBuckets) {
    buckets.push_back(json::array{ agent, entry, window });
  }
  json::value marks;
  marks.Set("agents", std::move(agents));
  marks.Set("buckets", std::move(buckets));
  return marks;
}

usage_marks
ParseMarks(const json::value& aValue)
{
  usage_marks marks;
  for (const auto& mark : ElementsAt(aValue, "agents")) {
    const auto& parts = mark.Elements();
    if (parts.size() == 2) {
      marks.mAgents[parts[0].StringOr("")] = parts[1].IntegerOr(0);
    }
  }
  for (const auto& mark : ElementsAt(aValue, "buckets")) {
    const auto& parts = mark.Elements();
    if (parts.size() == 3) {
      marks.mBuckets.insert({ parts[0].StringOr(""),
                              parts[1].StringOr(""),
                              parts[2].IntegerOr(0) });
    }
  }
  return marks;
}

} // namespace

bucket_key
KeyOf(const wire::usage_bucket& aBucket)
{
  return { aBucket.agent_incarnation,
           aBucket.entry_incarnation,
           aBucket.window };
}

bool
IsIncluded(const usage_marks& aMarks, const wire::usage_bucket& aBucket)
{
  const auto agent = aMarks.mAgents.find(aBucket.agent_incarnation);
  return (agent != aMarks.mAgents.end() && aBucket.window <= agent->second) ||
         aMarks.mBuckets.count(KeyOf(aBucket)) > 0;
}

std::vector<wire::usage_bucket>
IncludedOf(const usage_marks& aMarks,
           const std::vector<wire::usage_bucket>& aBuckets)
{
  std::vector<wire::usage_bucket> included;
  for (auto bucket : aBuckets) {
    if (IsIncluded(aMarks, bucket)) {
      bucket.rows.clear();
      included.push_back(std::move(bucket));
    }
  }
  return included;
}

window_report
MakeReport(std::int64_t aWindow,
           const std::vector<agent_offer>& aAgents,
           const std::vector<wire::usage_bucket>& aFromEntries,
           const std::function<bool(const std::string&)>& aIsGone,
           const usage_marks& aMarks)
{
  window_report report;
  report.mWindow = aWindow;
  report.mMarks = aMarks;
  auto& marks = report.mMarks;
  for (const auto& offer : aAgents) {
    const auto through = std::min(aWindow, offer.mClosedThrough);
    for (const auto& bucket : offer.mBuckets) {
      if (bucket.window <= through && IsDue(report, bucket) &&
          !IsIncluded(marks, bucket)) {
        Add(report, bucket);
      }
    }
    const auto mark = marks.mAgents.try_emplace(offer.mIncarnation, through);
    mark.first->second = std::max(mark.first->second, through);
  }
  for (const auto& bucket : aFromEntries) {
    if (IsDue(report, bucket) && !IsIncluded(marks, bucket) &&
        aIsGone(bucket.agent_incarnation)) {
      Add(report, bucket);
      marks.mBuckets.insert(KeyOf(bucket));
    }
  }
  DropOldMarks(marks, aWindow);
  return report;
}

json::value
DescribeFigures(const window_report& aReport)
{
  json::array rows;
  for (const auto& [customer, row] : aReport.mRows) {
    rows.push_back(ToJson(row));
  }
  json::array late;
  for (const auto& [key, row] : aReport.mLateRows) {
    auto described = ToJson(row);
    described.Set("window", key.first);
    late.push_back(std::move(described));
  }
  json::value figures;
  figures.Set("window", aReport.mWindow);
  figures.Set("rows", std::move(rows));
  figures.Set("late", std::move(late));
  return figures;
}

json::value
ToJson(const window_report& aReport)
{
  auto status = DescribeFigures(aReport);
  status.Set("reported", aReport.mIsReported);
  json::value described;
  described.Set("status", std::move(status));
  described.Set("marks", ToJson(aReport.mMarks));
  return described;
}

window_report
ParseReport(const json::value& aValue)
{
  window_report report;
  if (const auto* status = aValue.Find("status")) {
    report.mWindow = json::IntegerAt(*status, "window", 0);
    report.mIsReported = json::BooleanAt(*status, "reported", false);
    for (const auto& item : ElementsAt(*status, "rows")) {
      auto row = ParseRow(item);
      report.mRows[row.customer] = row;
    }
    for (const auto& item : ElementsAt(*status, "late")) {
      auto row = ParseRow(item);
      report.mLateRows[{ json::IntegerAt(item, "window", 0), row.customer }] =
        row;
    }
  }
  if (const auto* marks = aValue.Find("marks")) {
    report.mMarks = ParseMarks(*marks);
  }
  return report;
}

json::value
ToJson(const std::vector<wire::usage_bucket>& aBuckets)
{
  json::array described;
  for (const auto& bucket : aBuckets) {
    json::array rows;
    for (const auto& row : bucket.rows) {
      rows.push_back(ToJson(row));
    }
    json::value item;
    item.Set("agent", bucket.agent_incarnation);
    item.Set("entry", bucket.entry_incarnation);
    item.Set("window", bucket.window);
    item.Set("rows", std::move(rows));
    described.push_back(std::move(item));
  }
  return described;
}

std::vector<wire::usage_bucket>
ParseBuckets(const json::value& aValue)
{
  std::vector<wire::usage_bucket> buckets;
  for (const auto& item : aValue.Elements()) {
    wire::usage_bucket bucket;
    bucket.agent_incarnation = json::StringAt(item, "agent", "");
    bucket.entry_incarnation = json::StringAt(item, "entry", "");
    bucket.window = json::IntegerAt(item, "window", 0);
    for (const auto& row : ElementsAt(item, "rows")) {
      bucket.rows.push_back(ParseRow(row));
    }
    buckets.push_back(std::move(bucket));
  }
  return buckets;
}

json::value
ToJson(const std::vector<wire::superseded_run>& aRuns)
{
  json::array described;
  for (const auto& run : aRuns) {
    described.push_back(json::array{ run.agent_incarnation, run.request_id });
  }
  return described;
}

std::vector<wire::superseded_run>
ParseSuperseded(const json::value& aValue)
{
  std::vector<wire::superseded_run> runs;
  for (const auto& item : aValue.Elements()) {
    const auto& parts = item.Elements();
    if (parts.size() == 2) {
      wire::superseded_run run;
      run.agent_incarnation = parts[0].StringOr("");
      run.request_id = parts[1].StringOr("");
      runs.push_back(std::move(run));
    }
  }
  return runs;
}

} // namespace lavender::usage
