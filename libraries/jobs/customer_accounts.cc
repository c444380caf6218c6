#include "jobs/customer_accounts.h"

namespace wigeonstair::jobs {

void CustomerAccounts::Add(const base::CustomerId& customer,
                           const Resources& resources) {
  Account& account = accounts_[customer];
  account.in_use += resources;
  ++account.runs;
}

void CustomerAccounts::Remove(const base::CustomerId& customer,
                              const Resources& resources) {
  const auto account = accounts_.find(customer);
  if (account == accounts_.end())
    return;
  account->second.in_use -= resources;
  if (--account->second.runs == 0)
    accounts_.erase(account);
}

Resources CustomerAccounts::InUse(const base::CustomerId& customer) const {
  const auto account = accounts_.find(customer);
  return account == accounts_.end() ? Resources{} : account->second.in_use;
}

std::map<base::CustomerId, Resources> CustomerAccounts::InUse() const {
  std::map<base::CustomerId, Resources> in_use;
  for (const auto& [customer, account] : accounts_)
    in_use.emplace(customer, account.in_use);
  return in_use;
}

}  // namespace wigeonstair::jobs
