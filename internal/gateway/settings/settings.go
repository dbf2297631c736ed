package settings

import (
	"slices"
	"time"
)

// PathEnv names the environment variable that holds the path of the settings file.
const PathEnv = "CLOVERGAP_BOOT"

// Settings are those of a process. What the comment of a field gives no default for is empty or zero when it is left out.
type Settings struct {
	// NodeName names the node in logs and tables. Required.
	NodeName string `yaml:"node_name" validate:"required"`
	// Role is the platform's name for the kind of machine; it is not used here.
	Role string `yaml:"role"`
	// Serves lists what the process serves: edge (clients), control (control calls), both or none. It says which of Bind are required.
	Serves []string `yaml:"serves"`
	// IPAddress is where other nodes reach this one, and what it listens at for them. Required.
	IPAddress string `yaml:"ip" validate:"required,ip"`
	// Zone is the failure domain of the node; what is near comes first. Required.
	Zone string `yaml:"zone" validate:"required"`
	// Region is the zone's; it is not used here.
	Region string `yaml:"region"`
	// Zones has the region of each zone; it is not used here.
	Zones map[string]string `yaml:"zones"`
	// Bind holds the addresses to listen at.
	Bind Bind `yaml:"bind"`
	// InnerPorts are the first and the last port for nodes among themselves, 1 to 65535, the same at all nodes: the first takes links
	// (TCP), the next one quota datagrams (UDP).
	InnerPorts [2]int `yaml:"inner_port_range" validate:"dive,min=1,max=65535"`
	// SeedAddrs are control addresses of some nodes, host:port, by which a node finds the others.
	SeedAddrs []string `yaml:"seed_addrs" validate:"dive,hostname_port"`
	// FirstBoot is true at the very first start of a deployment alone: nodes with empty disks may found the replicated log then.
	FirstBoot bool `yaml:"first_boot"`
	// CountsAsLoss tells whether the platform counts this machine among those that Tolerance is about; it is not used here.
	CountsAsLoss bool `yaml:"counts_as_loss"`
	// Limits are the machine's.
	Limits Limits `yaml:"limits"`
	// DataDir is the folder for the replicas' state. Empty: the node has no disk, and follows one that has.
	DataDir string `yaml:"data_dir"`
	// HeartbeatInterval is the time between a backend's heartbeats (beat_interval), above 0: one that misses three is gone. Required.
	HeartbeatInterval time.Duration `yaml:"-"`
	// Contracts lists what the deployment's applications rely on; coord has the coordination groups founded from the start.
	Contracts []string `yaml:"contracts"`
	// Tolerance is what may be lost at once.
	Tolerance Tolerance `yaml:"tolerates"`
	// Bounds are the times and ratios (bounds) that the deployment is held to; DefaultBounds where the file names none.
	Bounds Bounds `yaml:"-"`
}

// Bind holds the addresses to listen at, host:port. One may be empty where the process does not serve what it is for.
type Bind struct {
	// Front takes clients' requests. Required with edge.
	Front string `yaml:"front" validate:"omitempty,hostname_port"`
	// Readiness answers the platform's question whether clients may come. Required with edge.
	Readiness string `yaml:"readiness" validate:"omitempty,hostname_port"`
	// Control takes calls of backends, applications and operators. Required with control.
	Control string `yaml:"control" validate:"omitempty,hostname_port"`
}

// Limits are what the machine grants this process. 0 everywhere: not known, no limit of its own.
type Limits struct {
	// CPUShare is the share of a core, 1 for a whole one; it is not used here.
	CPUShare float64 `yaml:"cpu_share" validate:"min=0"`
	// Cores is how many times as fast as one reference core the machine is; it is not used here.
	Cores float64 `yaml:"cores" validate:"min=0"`
	// MemoryMB is the memory in MiB: 60 % are the heap's soft limit, a quarter may hold request bytes.
	MemoryMB int `yaml:"memory_mb" validate:"min=0"`
	// MaxFDs is how many file descriptors may be open.
	MaxFDs int `yaml:"max_fds" validate:"min=0"`
	// LinkMbps is the bandwidth of the machine's link in Mbit/s; it is not used here.
	LinkMbps float64 `yaml:"link_mbps" validate:"min=0"`
	// DiskMB is the disk in MB: a configuration above a tenth of it is refused.
	DiskMB int `yaml:"disk_mb" validate:"min=0"`
}

// Tolerance is what may be lost at once while all that is promised holds.
type Tolerance struct {
	// Machines is how many machines with a disk may be lost.
	Machines int `yaml:"machines" validate:"min=0"`
	// Zones is how many whole zones may be lost; it is not used here.
	Zones int `yaml:"zones" validate:"min=0"`
	// Regions is how many whole regions may be lost; it is not used here.
	Regions int `yaml:"regions" validate:"min=0"`
}

// ChangedRestartFields names the fields, as the file does, that differ from other and that a process takes up at its start only. The rest may
// change at any time.
func (s *Settings) ChangedRestartFields(other *Settings) (changed []string) {
	for _, field := range []struct {
		name string
		same bool
	}{
		{"node_name", s.NodeName == other.NodeName},
		{"role", s.Role == other.Role},
		{"serves", slices.Equal(s.Serves, other.Serves)},
		{"ip", s.IPAddress == other.IPAddress},
		{"zone", s.Zone == other.Zone},
		{"region", s.Region == other.Region},
		{"bind.front", s.Bind.Front == other.Bind.Front},
		{"bind.readiness", s.Bind.Readiness == other.Bind.Readiness},
		{"bind.control", s.Bind.Control == other.Bind.Control},
		{"inner_port_range", s.InnerPorts == other.InnerPorts},
		{"counts_as_loss", s.CountsAsLoss == other.CountsAsLoss},
		{"data_dir", s.DataDir == other.DataDir},
	} {
		if !field.same {
			changed = append(changed, field.name)
		}
	}
	return changed
}
