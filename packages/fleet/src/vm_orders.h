// Internal: orders for VMs. An order goes out once the store has it, so that
// the next owner knows it.

#ifndef cuminbridge_fleet_vm_orders_h
#define cuminbridge_fleet_vm_orders_h

#include "state.h"

namespace cuminbridge {

// A VM is taken to be back once the platform has listed it as up this long
// after the order, which covers a list that was read before the order.
inline constexpr Millis kListLag(1200);
// An order without an answer may be carried out until then.
inline constexpr Millis kOrderDoubt(3000);

// The target that runs on a VM, or null.
Target* TargetOfVm(FleetState& aState, const std::string& aVm);
bool IsUp(const FleetState& aState, const std::string& aVm);
bool HasOpenOrder(const FleetState& aState, const std::string& aVm);
// Orders of the owner before us for this VM are long enough ago.
bool MayOrder(const FleetState& aState, const std::string& aVm);

// Plans an order: it is stored with the next batch.
void SendOrder(FleetState& aState, const std::string& aVm, VmOrder aOrder);
void AddOrdersToBatch(FleetState& aState, StoreProgress& aBatch);
// Sends what the batch held, as far as it still may be carried out.
void SendStoredOrders(FleetState& aState);
void TakeVmOrder(FleetState& aState, const VmOrderAnswered& aAnswer);
// Forgets orders whose outcome shows in the list, or that were given up.
void CloseOrders(FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_vm_orders_h
