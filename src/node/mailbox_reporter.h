#ifndef FLAMINGOYOKE_NODE_MAILBOX_REPORTER_H_
#define FLAMINGOYOKE_NODE_MAILBOX_REPORTER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "node/messages.h"

namespace flamingoyoke {

// Makes metrics of the messages that full mailboxes dropped, and writes a line
// for each mailbox that dropped some since the last call. A dropped message is
// otherwise visible only by what did not happen. Not thread-safe.
class MailboxReporter {
 public:
  // `mailboxes` must outlive the reporter.
  explicit MailboxReporter(const Mailboxes& mailboxes)
      : mailboxes_(mailboxes) {}

  // Returns one sample for each mailbox.
  auto Report() -> std::vector<MetricSample>;

 private:
  const Mailboxes& mailboxes_;
  // Dropped messages of each mailbox that a line was written about.
  std::map<std::string, std::uint64_t> logged_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_MAILBOX_REPORTER_H_
