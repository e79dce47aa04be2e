package main

import (
	"fmt"
	"time"

	"honeylock/internal/standin"
)

// marketplace is the small deployment of the Registry: kit/sites/qoloner-almaty.toml.
func marketplace() *site {
	zones := []string{"almaty-east", "almaty-west", "astana-dc", "shymkent-dc"}
	return &site{
		zones: zones, controllers: 3, reportS: 1, leaseS: 10, cancelS: 40, rps: 150, writeRPS: 60, valueKB: 16, txnOps: 16,
		cloudRPS: 5, listLagS: 10, cpu: 0.24, memMB: 98, fdLimit: 800, listLagTime: 10 * time.Second,
		listedAfterLoss: 20 * time.Second,
		teams: team("artisan-desk", 408, 1016) + team("payments-office", 304, 1224) + team("catalogue-unit", 408, 1624) +
			team("audit-cell", 160, 512),
		objectives: "[[cluster.objectives]]\nkind = \"finished\"\nclass = \"listing-review\"\nwithin_s = 120.0\nshare = 0.88\n" +
			"[[cluster.objectives]]\nkind = \"finished\"\nclass = \"photo-thumbnails\"\nwithin_s = 250.0\nshare = 0.985\n" +
			"[[cluster.objectives]]\nkind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.97\n",
		limitCPUs: map[string]float64{"artisan-desk": 1016, "payments-office": 1224, "catalogue-unit": 1624, "audit-cell": 512},
		types: []standin.MachineType{
			{Label: "kiiz-thirtytwo", Cpus: 32, MemGb: 64, LocalGb: 40, PullGbPerS: 0.5, Hourly: 1.52, MarketPrice: 0.44,
				ReadyS: 15, Yards: []string{"almaty-east", "almaty-west"}, MaxPerZone: 7},
			{Label: "tulpar-sixtyfour", Cpus: 64, MemGb: 256, LocalGb: 60, PullGbPerS: 0.6, Hourly: 3.42, MarketPrice: 0.94,
				ReadyS: 50, Yards: zones, MaxPerZone: 2},
		},
	}
}

// job returns a submission with the given fields changed.
func job(name string, changed object) object {
	j := object{"NameId": name, "Comb": "listing-review", "Colony": "catalogue-unit", "Shape": "batch", "Rank": "standard",
		"Cells": 1, "Cpus": 4.0, "Accelerators": 0.0, "MemGb": 5.3, "Wax": "img-01", "ImageGb": 0.7, "Breeds": nil,
		"Yard": nil, "Together": false, "Spread": false, "SwarmBoxes": true, "ForageS": 40.0, "CapIntervalS": 0.0,
		"CapS": 0.0, "HarvestS": nil}
	for k, v := range changed {
		j[k] = v
	}
	return j
}

// team returns a team's settings.
func team(name string, cpus, cpusMax float64) string {
	return fmt.Sprintf("[[cluster.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", name, cpus,
		cpusMax)
}
