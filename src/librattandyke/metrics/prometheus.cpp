#include "metrics/prometheus.h"

#include <cstdio>
#include <initializer_list>

namespace rattandyke::metrics {
namespace {

struct Label
{
  std::string_view name;
  std::string_view value;
};

using Labels = std::vector<Label>;

/// A label's value stands between quotes, and names come from callers.
std::string
Escaped(std::string_view aText)
{
  std::string escaped;
  for (const char letter : aText) {
    if (letter == '\n') {
      escaped += "\\n";
      continue;
    }
    if (letter == '\\' || letter == '"') {
      escaped += '\\';
    }
    escaped += letter;
  }
  return escaped;
}

std::string
NumberText(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof text, "%.9g", aValue);
  return text;
}

class Page
{
public:
  void Head(std::string_view aName,
            std::string_view aType,
            std::string_view aHelp)
  {
    mName = "rattandyke_" + std::string(aName);
    mText += "# HELP " + mName + ' ' + std::string(aHelp) + '\n';
    mText += "# TYPE " + mName + ' ' + std::string(aType) + '\n';
  }

  void Count(const Labels& aLabels, uint64_t aValue)
  {
    Line("", aLabels, std::to_string(aValue));
  }

  void Times(const Labels& aLabels, const Distribution& aTimes)
  {
    uint64_t below = 0;
    for (size_t bucket = 0; bucket < BucketBounds().size(); ++bucket) {
      below += bucket < aTimes.counts.size() ? aTimes.counts[bucket] : 0;
      Bucket(aLabels, Seconds(BucketBounds()[bucket]), below);
    }
    Bucket(aLabels, "+Inf", aTimes.count);
    Line("_sum", aLabels, Seconds(aTimes.sum));
    Line("_count", aLabels, std::to_string(aTimes.count));
  }

  std::string Take() { return std::move(mText); }

private:
  static std::string Seconds(std::chrono::nanoseconds aTime)
  {
    return NumberText(std::chrono::duration<double>(aTime).count());
  }

  void Bucket(Labels aLabels, const std::string& aBound, uint64_t aBelow)
  {
    aLabels.push_back({ "le", aBound });
    Line("_bucket", aLabels, std::to_string(aBelow));
  }

  void Line(std::string_view aSuffix,
            const Labels& aLabels,
            const std::string& aValue)
  {
    mText += mName;
    mText += aSuffix;
    char separator = '{';
    for (const Label& label : aLabels) {
      mText += separator;
      mText += label.name;
      mText += "=\"" + Escaped(label.value) + '"';
      separator = ',';
    }
    mText += aLabels.empty() ? " " : "} ";
    mText += aValue + '\n';
  }

  std::string mName;
  std::string mText;
};

void
WriteRequests(const Snapshot& aSnapshot, Page& aPage)
{
  aPage.Head("requests_total", "counter", "Answered requests, by outcome.");
  for (const ServiceFigures& service : aSnapshot.services) {
    for (const CustomerFigures& customer : service.customers) {
      const auto line = [&](entry::Outcome aOutcome, uint64_t aCount) {
        aPage.Count({ { "service", service.service },
                      { "customer", customer.customer },
                      { "outcome", entry::NameOf(aOutcome) } },
                    aCount);
      };
      line(entry::Outcome::NotRun, customer.notRun);
      line(entry::Outcome::Ran, customer.ran);
      line(entry::Outcome::Unknown, customer.unknown);
    }
  }
}

void
WriteCustomerTimes(const Snapshot& aSnapshot,
                   Distribution CustomerFigures::*aMember,
                   Page& aPage)
{
  for (const ServiceFigures& service : aSnapshot.services) {
    for (const CustomerFigures& customer : service.customers) {
      aPage.Times(
        { { "service", service.service }, { "customer", customer.customer } },
        customer.*aMember);
    }
  }
}

void
WriteUpstreams(const Snapshot& aSnapshot, Page& aPage)
{
  const auto each = [&](auto aWrite) {
    for (const ServiceFigures& service : aSnapshot.services) {
      for (const UpstreamFigures& upstream : service.upstreams) {
        aWrite(Labels{ { "service", service.service },
                       { "upstream", upstream.upstream } },
               upstream);
      }
    }
  };
  aPage.Head("upstream_attempts_total", "counter", "Requests sent.");
  each([&](const Labels& aLabels, const UpstreamFigures& aUpstream) {
    aPage.Count(aLabels, aUpstream.attempts);
  });
  aPage.Head("upstream_failures_total", "counter", "Requests that failed.");
  each([&](const Labels& aLabels, const UpstreamFigures& aUpstream) {
    aPage.Count(aLabels, aUpstream.failed);
  });
  aPage.Head("upstream_latency_seconds", "histogram", "Time of an attempt.");
  each([&](const Labels& aLabels, const UpstreamFigures& aUpstream) {
    aPage.Times(aLabels, aUpstream.latency);
  });
}

void
WriteRefusals(const Snapshot& aSnapshot, Page& aPage)
{
  aPage.Head("refusals_total", "counter", "Answers of our own, by code.");
  for (const ServiceFigures& service : aSnapshot.services) {
    for (const RefusalFigures& refusal : service.refusals) {
      aPage.Count({ { "service", service.service },
                    { "reason", Describe(refusal.code).name } },
                  refusal.count);
    }
  }
}

void
WriteObjectives(const Snapshot& aSnapshot, Page& aPage)
{
  aPage.Head("objective_requests_total",
             "counter",
             "Requests counted for the objective: all, failed, slow.");
  for (const ServiceFigures& service : aSnapshot.services) {
    const auto line = [&](std::string_view aKind, uint64_t aCount) {
      aPage.Count({ { "service", service.service }, { "kind", aKind } },
                  aCount);
    };
    line("all", service.objective.total);
    line("failed", service.objective.failed);
    line("slow", service.objective.slow);
  }
}

void
WriteServices(const Snapshot& aSnapshot, Page& aPage)
{
  aPage.Head("retries_total", "counter", "Requests sent again.");
  for (const ServiceFigures& service : aSnapshot.services) {
    aPage.Count({ { "service", service.service } }, service.retries);
  }
  aPage.Head(
    "answered_again_total", "counter", "Resends that got the first answer.");
  for (const ServiceFigures& service : aSnapshot.services) {
    aPage.Count({ { "service", service.service } }, service.answeredAgain);
  }
}

void
WriteHost(const Snapshot& aSnapshot, Page& aPage)
{
  aPage.Head("table_lease_margin_seconds",
             "histogram",
             "What was left of the table lease when it was renewed.");
  aPage.Times({}, aSnapshot.leaseMargin);
  aPage.Head("folded_samples_total",
             "counter",
             "Samples counted under the label other, by kind of label.");
  aPage.Count({ { "label", "service" } }, aSnapshot.folded.services);
  aPage.Count({ { "label", "customer" } }, aSnapshot.folded.customers);
  aPage.Count({ { "label", "upstream" } }, aSnapshot.folded.upstreams);
}

} // namespace

std::string
ToPrometheus(const Snapshot& aSnapshot)
{
  Page page;
  WriteRequests(aSnapshot, page);
  page.Head("request_latency_seconds", "histogram", "Time of a request.");
  WriteCustomerTimes(aSnapshot, &CustomerFigures::latency, page);
  page.Head("request_queue_seconds", "histogram", "Wait for a slot.");
  WriteCustomerTimes(aSnapshot, &CustomerFigures::queueTime, page);
  WriteUpstreams(aSnapshot, page);
  WriteRefusals(aSnapshot, page);
  WriteObjectives(aSnapshot, page);
  WriteServices(aSnapshot, page);
  WriteHost(aSnapshot, page);
  return page.Take();
}

} // namespace rattandyke::metrics
