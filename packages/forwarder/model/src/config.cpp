// Builds a configuration and its indexes.

#include "cuminbridge/model.h"

namespace cuminbridge::forwarder {

ConfigBuilder::ConfigBuilder(const Config& aBase)
{
  config_.number_ = aBase.number_;
  config_.digest_ = aBase.digest_;
  config_.pools_ = aBase.pools_;
  config_.accounts_ = aBase.accounts_;
}

ConfigBuilder&
ConfigBuilder::SetTicket(std::int64_t aNumber, std::string aDigest)
{
  config_.number_ = aNumber;
  config_.digest_ = std::move(aDigest);
  return *this;
}

ConfigBuilder&
ConfigBuilder::SetPool(PoolPtr aPool)
{
  config_.pools_[aPool->name_] = aPool;
  return *this;
}

ConfigBuilder&
ConfigBuilder::SetAccount(AccountPtr aAccount)
{
  config_.accounts_[aAccount->name_] = aAccount;
  return *this;
}

ConfigPtr
ConfigBuilder::Build()
{
  config_.poolOfVm_.clear();
  config_.accountOfKey_.clear();
  for (const auto& [name, pool] : config_.pools_) {
    for (const std::string& vm : pool->vms_) {
      config_.poolOfVm_.emplace(vm, name);
    }
  }
  for (const auto& [name, account] : config_.accounts_) {
    for (const std::string& key : account->keys_) {
      config_.accountOfKey_.emplace(key, name);
    }
  }
  return std::make_shared<const Config>(std::move(config_));
}

} // namespace cuminbridge::forwarder
