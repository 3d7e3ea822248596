package membership

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// vmKeyPrefix is the prefix of the keys of VM rows.
const vmKeyPrefix = "vm/"

// Roster is the list of VMs, stored as rows of the platform's table. Each process writes its
// own row when it starts and deletes it when it stops in an orderly way. The row of a process
// that crashed remains, and missed heartbeats show that it has ended.
type Roster struct{ table kumquatlug.Table }

// NewRoster returns the list stored in table.
func NewRoster(table kumquatlug.Table) *Roster { return &Roster{table: table} }

// vmRow is the JSON form of a VM's row.
type vmRow struct {
	Role    kumquatlug.VMRole  `json:"role"`
	Address string             `json:"address"`
	Zone    string             `json:"zone"`
	State   kumquatlug.VMState `json:"state"`
}

// Register writes a VM's row.
func (r *Roster) Register(ctx context.Context, vm kumquatlug.VM) error {
	text, err := json.Marshal(vmRow{Role: vm.Role(), Address: vm.Address(), Zone: vm.Zone(), State: vm.State()})
	if err != nil {
		return errors.Wrap(err, "encode the VM's row")
	}
	tx := kumquatlug.NewTx("vm-"+vm.Name()).Put(vmKeyPrefix+vm.Name(), text)
	return errors.Wrap(r.table.Commit(ctx, tx), "write the VM's row")
}

// Deregister deletes a VM's row.
func (r *Roster) Deregister(ctx context.Context, name string) error {
	return errors.Wrap(r.table.Commit(ctx, kumquatlug.NewTx("vm-"+name).Delete(vmKeyPrefix+name)), "delete the VM's row")
}

// List returns all VMs sorted by name. Rows that can't be decoded are skipped.
func (r *Roster) List(ctx context.Context) ([]kumquatlug.VM, error) {
	rows, err := r.table.Scan(ctx, vmKeyPrefix, "", 0)
	if err != nil {
		return nil, errors.Wrap(err, "list VMs")
	}
	vms := make([]kumquatlug.VM, 0, len(rows))
	for _, row := range rows {
		var decoded vmRow
		if err := json.Unmarshal(row.Value(), &decoded); err != nil {
			continue
		}
		vms = append(vms, kumquatlug.NewVM(kumquatlug.VMConfig{
			Name: row.Key()[len(vmKeyPrefix):], Role: decoded.Role, Address: decoded.Address, Zone: decoded.Zone, State: decoded.State,
		}))
	}
	return vms, nil
}
