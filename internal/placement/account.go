package placement

import (
	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// Limits are the bytes of an endpoint's memory. Adapters use a reserved part,
// models the rest.
type Limits struct {
	ModelBytes   int64
	AdapterBytes int64
}

// Holding is what an endpoint holds, or may come to hold, of one item.
type Holding struct {
	Bytes int64
	// State is the reported state; empty where the report has no such item.
	State engineapi.ItemState
	// MayAppear is set while a load may yet take effect.
	MayAppear bool
	// MayVanish is set while an unload may yet take effect.
	MayVanish bool
	// Coming is set while this owner's own load has not ended.
	Coming bool
	// Going is set while this owner's own unload has not ended.
	Going bool
}

// Secure reports whether the item is ready and no order may remove it.
func (h Holding) Secure() bool { return h.State == engineapi.ItemReady && !h.MayVanish }

// Present reports whether the item is held or being loaded, and is to stay.
func (h Holding) Present() bool {
	return !h.Going && (h.State == engineapi.ItemReady || h.State == engineapi.ItemLoading || h.Coming)
}

// Account is the most memory that an endpoint's orders and newest report can
// add up to. The zero value is an endpoint without memory.
type Account struct {
	Limits  Limits
	Models  int64
	Adapter int64
	Items   map[Item]Holding
}

// NewAccount counts each item once: what the report shows, and what any order
// may yet add to it. Memory is free again only when a report shows it so.
// The orders of sender count as coming and going until they have ended.
func NewAccount(limits Limits, report *engineapi.Report, intents *Intents, sender string) Account {
	account := Account{Limits: limits, Items: make(map[Item]Holding)}
	reported := int64(0)
	for _, held := range report.Models {
		reported += held.Bytes
		account.Items[Item{Model: held.Model, Version: held.Version}] = Holding{Bytes: held.Bytes, State: held.State}
	}
	for _, held := range report.Adapters {
		reported += held.Bytes
		account.Items[Item{Model: held.Model, Adapter: held.Adapter}] = Holding{Bytes: held.Bytes, State: held.State}
	}
	account.addOrders(intents.Orders, report.Incarnation, sender)
	for item, holding := range account.Items {
		account.add(item, holding.Bytes)
	}
	account.Models += max(0, report.UsedBytes-reported)
	return account
}

func (a *Account) addOrders(orders []Order, incarnation, sender string) {
	for i := range orders {
		order := &orders[i]
		if !order.counts(incarnation) {
			continue
		}
		holding := a.Items[order.Item]
		active := !order.Ended && order.Sender == sender
		if order.IsLoad() {
			holding.MayAppear = true
			holding.Coming = holding.Coming || active
			holding.Bytes = max(holding.Bytes, order.Bytes)
		} else {
			holding.MayVanish = true
			holding.Going = holding.Going || active
		}
		a.Items[order.Item] = holding
	}
}

func (a *Account) add(item Item, bytes int64) {
	if item.IsAdapter() {
		a.Adapter += bytes
		return
	}
	a.Models += bytes
}

// Free returns the bytes that items of the kind of the one given may still
// take. It is negative where a limit was lowered below what is held.
func (a *Account) Free(item Item) int64 {
	if item.IsAdapter() {
		return a.Limits.AdapterBytes - a.Adapter
	}
	return a.Limits.ModelBytes - a.Models
}

// Fits reports whether a load of the item, of the size given, stays within
// the limits. A load of what is already counted needs no further memory.
func (a *Account) Fits(item Item, bytes int64) bool {
	needed := bytes - a.Items[item].Bytes
	return needed <= 0 || needed <= a.Free(item)
}

// Load adds a load of the item to the account.
func (a *Account) Load(item Item, bytes int64) {
	holding := a.Items[item]
	if bytes > holding.Bytes {
		a.add(item, bytes-holding.Bytes)
		holding.Bytes = bytes
	}
	holding.MayAppear = true
	holding.Coming = true
	a.Items[item] = holding
}

// Unload notes that the item is to go. Its memory stays counted.
func (a *Account) Unload(item Item) {
	holding := a.Items[item]
	holding.MayVanish = true
	holding.Going = true
	a.Items[item] = holding
}

// WithinLimits reports whether the account keeps to the memory.
func (a *Account) WithinLimits() bool {
	return a.Models <= a.Limits.ModelBytes && a.Adapter <= a.Limits.AdapterBytes
}
