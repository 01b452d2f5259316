// Internal: orders to the platform that move a VM or take it down for
// maintenance. An order is sent only once it is stored, so that the next owner
// knows of it.

#ifndef cuminbridge_fleet_vm_orders_h
#define cuminbridge_fleet_vm_orders_h

#include "state.h"

namespace cuminbridge {

// The platform's list of VMs shows the effect of an order if it was requested
// at least this long after the order. Earlier lists may have been read before.
inline constexpr Millis kListLag(1200);
// An order without an answer may still be carried out for this long.
inline constexpr Millis kOrderTimeout(3000);

// The target that runs on a VM, or null.
Target* TargetOfVm(FleetState& aState, const std::string& aVm);
bool IsUp(const FleetState& aState, const std::string& aVm);
bool HasOpenOrder(const FleetState& aState, const std::string& aVm);
// False while an order of the previous owner for this VM is too recent.
bool MayOrder(const FleetState& aState, const std::string& aVm);

// How long the next owner leaves a VM alone after the recorded time of an
// order.
Millis OrderPause(const FleetOptions& aOptions);
// When an earlier owner recorded its last order for the VM, if it did.
std::optional<WallTime> OrderedBeforeAt(const FleetState& aState,
                                        const std::string& aVm);

// Plans an order: it is stored with the next batch, and sent after that.
void PlanOrder(FleetState& aState, const std::string& aVm, VmOrder aOrder);
// Adds recent orders to a batch, and the demand peaks if they changed.
void AddOrdersToBatch(FleetState& aState, StoreProgress& aBatch);
// Sends the orders of the stored batch; drops those that no longer may be sent.
void SendStoredOrders(FleetState& aState);
void HandleVmOrderAnswer(FleetState& aState, const VmOrderAnswered& aAnswer);
// Takes orders whose effect the list of VMs shows as answered: their answer may
// be lost.
void ConfirmOrders(FleetState& aState);
// Removes orders whose effect is visible, or that have timed out.
void CloseOrders(FleetState& aState);

} // namespace cuminbridge

#endif // cuminbridge_fleet_vm_orders_h
