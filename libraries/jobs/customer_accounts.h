#ifndef WIGEONSTAIR_LIBRARIES_JOBS_CUSTOMER_ACCOUNTS_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_CUSTOMER_ACCOUNTS_H_

#include <cstddef>
#include <map>

#include "base/strong_id.h"
#include "jobs/job.h"

namespace wigeonstair::jobs {

// What each customer has running: the sum of the resources of all runs that may
// exist. The owner adds a run before its start can be sent, and removes it once
// it has ended or can neither exist nor begin any more.
class CustomerAccounts {
 public:
  void Add(const base::CustomerId& customer, const Resources& resources);
  // The same customer and resources must have been added before.
  void Remove(const base::CustomerId& customer, const Resources& resources);
  void Clear() { accounts_.clear(); }

  // Nothing for a customer without runs.
  Resources InUse(const base::CustomerId& customer) const;
  // The customers with runs.
  std::map<base::CustomerId, Resources> InUse() const;

 private:
  struct Account {
    Resources in_use;
    std::size_t runs = 0;
  };

  std::map<base::CustomerId, Account> accounts_;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_CUSTOMER_ACCOUNTS_H_
