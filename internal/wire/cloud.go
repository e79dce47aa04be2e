package wire

import (
	"time"

	"honeylock/internal/core/model"
)

// Catalog is the answer to GET /catalog.
type Catalog struct {
	Types []struct {
		Name      string   `json:"Label"`
		CPUs      float64  `json:"Cpus"`
		GPUs      float64  `json:"Accelerators"`
		MemGB     float64  `json:"MemGb"`
		CacheGB   float64  `json:"LocalGb"`
		FetchRate float64  `json:"PullGbPerS"`
		Price     float64  `json:"Hourly"`
		SpotPrice float64  `json:"MarketPrice"`
		BootS     float64  `json:"ReadyS"`
		Zones     []string `json:"Yards"`
	} `json:"Breeds"`
}

// MachineTypes converts the catalog to model types, adding its names to the tables.
func (c *Catalog) MachineTypes(n *Names) []model.MachineType {
	var out []model.MachineType
	for _, t := range c.Types {
		machineType := model.MachineType{Name: n.Types.ID(t.Name), Cap: model.Capacity(t.CPUs, t.GPUs, t.MemGB),
			FetchRate: t.FetchRate,
			Price:     t.Price, SpotPrice: t.SpotPrice, Boot: time.Duration(t.BootS * float64(time.Second))}
		for _, z := range t.Zones {
			machineType.Zones = append(machineType.Zones, n.Zones.ID(z))
		}
		out = append(out, machineType)
	}
	return out
}

// Rental is the body of POST /rentals.
type Rental struct {
	Request string `json:"Hire"`
	Type    string `json:"Breed"`
	Zone    string `json:"Yard"`
	Spot    bool   `json:"SwarmBoxes"`
	Count   int    `json:"Count"`
}

// MachineNames is the answer to POST /rentals and the body of POST /rentals/return.
type MachineNames struct {
	Machines []string `json:"Hives"`
}

// Listing is one page of the answer to GET /rentals.
type Listing struct {
	Machines []ListedMachine `json:"Hives"`
	More     bool            `json:"Truncated"`
}

// ListedMachine is an entry of the cloud's machine list.
type ListedMachine struct {
	Name  string  `json:"NameId"`
	Addr  string  `json:"Addr"`
	Type  string  `json:"Breed"`
	Zone  string  `json:"Yard"`
	Spot  bool    `json:"SwarmBoxes"`
	Stage string  `json:"Stage"`
	AgeS  float64 `json:"HeldS"`
}
