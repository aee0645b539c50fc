#ifndef FLAMINGOYOKE_NODE_MAILBOX_REPORTER_H_
#define FLAMINGOYOKE_NODE_MAILBOX_REPORTER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "node/messages.h"

namespace flamingoyoke {

// Reports messages dropped by full mailboxes as metrics, and logs a warning for
// each mailbox that dropped messages since the last call. Nothing else records
// a dropped message. Not thread-safe.
class MailboxReporter {
 public:
  // `mailboxes` must outlive the reporter.
  explicit MailboxReporter(const Mailboxes& mailboxes)
      : mailboxes_(mailboxes) {}

  // Returns one sample for each mailbox.
  auto Report() -> std::vector<MetricSample>;

 private:
  const Mailboxes& mailboxes_;
  // Count of dropped messages already logged, by mailbox.
  std::map<std::string, std::uint64_t> logged_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_MAILBOX_REPORTER_H_
