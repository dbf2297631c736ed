package settings

import (
	"slices"
	"time"
)

// PathEnv is the name of the environment variable that holds the path of the settings file.
const PathEnv = "CLOVERGAP_BOOT"

// Settings are the settings of a process. An omitted field is empty or zero, unless the comment of the field gives another default. The
// program parses and validates fields that are marked as unused, but does not use their values.
type Settings struct {
	// NodeName is the name of the node in logs and tables. Required.
	NodeName string `yaml:"node_name" validate:"required"`
	// Role is the name that the platform gives this kind of machine. Unused.
	Role string `yaml:"role"`
	// Serves lists the functions of the process: edge (requests of clients), control (control calls), both or none. Serves determines
	// which addresses of Bind are required.
	Serves []string `yaml:"serves"`
	// IPAddress is the IP address at which this node accepts connections of other nodes. Required.
	IPAddress string `yaml:"ip" validate:"required,ip"`
	// Zone is the failure domain of the node. The node prefers peers and backends in its own zone. Required.
	Zone string `yaml:"zone" validate:"required"`
	// Region is the region of Zone. Unused.
	Region string `yaml:"region"`
	// Zones maps each zone to its region. Unused.
	Zones map[string]string `yaml:"zones"`
	// Bind holds the listen addresses for clients, readiness checks and control calls.
	Bind Bind `yaml:"bind"`
	// InnerPorts are the first and the last port for traffic between nodes, 1 to 65535. All nodes must have the same values. The first
	// port accepts links (TCP), and the port after the first accepts quota datagrams (UDP).
	InnerPorts [2]int `yaml:"inner_port_range" validate:"dive,min=1,max=65535"`
	// SeedAddrs are the control addresses of some nodes, host:port. A node discovers the other nodes through these addresses.
	SeedAddrs []string `yaml:"seed_addrs" validate:"dive,hostname_port"`
	// FirstBoot is true only at the first start of a deployment. It allows nodes with empty disks to create the replicated log.
	FirstBoot bool `yaml:"first_boot"`
	// CountsAsLoss is true if the platform counts the loss of this machine towards Tolerance. Unused.
	CountsAsLoss bool `yaml:"counts_as_loss"`
	// Limits are the resource limits of the process on this machine.
	Limits Limits `yaml:"limits"`
	// DataDir is the directory for the state of the replica. If it is empty, the node has no disk and follows a node with a disk.
	DataDir string `yaml:"data_dir"`
	// HeartbeatInterval is the time between two heartbeats of a backend (beat_interval in the file), above 0. A backend that misses three
	// heartbeats counts as gone. Required.
	HeartbeatInterval time.Duration `yaml:"-"`
	// Contracts lists the interfaces that the applications of the deployment use. The value coord creates the coordination groups at the
	// start of the deployment.
	Contracts []string `yaml:"contracts"`
	// Tolerance is the number of machines, zones and regions whose simultaneous loss the deployment must survive.
	Tolerance Tolerance `yaml:"tolerates"`
	// Bounds are the time limits and ratios that the deployment must meet (bounds in the file). A bound that the file omits has its value
	// in DefaultBounds.
	Bounds Bounds `yaml:"-"`
}

// Bind holds listen addresses, host:port. An address may be empty if Serves does not require it.
type Bind struct {
	// Front is the address for requests of clients. Required if Serves contains edge.
	Front string `yaml:"front" validate:"omitempty,hostname_port"`
	// Readiness is the address for readiness checks, by which the platform decides whether to send clients to the node. Required if Serves
	// contains edge.
	Readiness string `yaml:"readiness" validate:"omitempty,hostname_port"`
	// Control is the address for control calls of backends, applications and operators. Required if Serves contains control.
	Control string `yaml:"control" validate:"omitempty,hostname_port"`
}

// Limits are the resource limits that the machine sets for this process. 0 means that the limit is not known. The node then uses its own
// defaults for MaxFDs and MemoryMB.
type Limits struct {
	// CPUShare is the CPU time that the process may use, in cores. Unused.
	CPUShare float64 `yaml:"cpu_share" validate:"min=0"`
	// Cores is the speed of the machine as a multiple of one reference core. Unused.
	Cores float64 `yaml:"cores" validate:"min=0"`
	// MemoryMB is the memory in MiB. The soft limit of the heap is 60 % of it, and request bytes may use a quarter of it.
	MemoryMB int `yaml:"memory_mb" validate:"min=0"`
	// MaxFDs is the maximum number of open file descriptors.
	MaxFDs int `yaml:"max_fds" validate:"min=0"`
	// LinkMbps is the network bandwidth of the machine in Mbit/s. Unused.
	LinkMbps float64 `yaml:"link_mbps" validate:"min=0"`
	// DiskMB is the disk space in MB. A configuration larger than a tenth of DiskMB is rejected.
	DiskMB int `yaml:"disk_mb" validate:"min=0"`
}

// Tolerance is the number of machines, zones and regions that may fail at the same time while all guarantees of the deployment hold.
type Tolerance struct {
	// Machines is the number of machines with a disk that may fail.
	Machines int `yaml:"machines" validate:"min=0"`
	// Zones is the number of complete zones that may fail. Unused.
	Zones int `yaml:"zones" validate:"min=0"`
	// Regions is the number of complete regions that may fail. Unused.
	Regions int `yaml:"regions" validate:"min=0"`
}

// ChangedRestartFields returns the names in the file of the fields that differ between s and other and that take effect only at the start
// of a process. A running process does not need a restart for changes of other fields.
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
