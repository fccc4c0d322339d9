package metastore

import (
	"google.golang.org/protobuf/proto"

	platformpb "skylarkhinge.dev/skylarkhinge/api/platform/v1"
)

// EncodeVMList encodes a list as a protobuf ListVMsResponse, in which form proxies
// pass it on to each other.
func EncodeVMList(list VMList) ([]byte, error) {
	message := &platformpb.ListVMsResponse{}
	message.Epoch, message.Revision = splitRevision(list.Revision)
	for _, vm := range list.VMs {
		message.Vms = append(message.Vms, vmToProto(vm))
	}
	return proto.Marshal(message)
}

// DecodeVMList decodes the result of EncodeVMList.
func DecodeVMList(data []byte) (VMList, error) {
	var message platformpb.ListVMsResponse
	if err := proto.Unmarshal(data, &message); err != nil {
		return VMList{}, err
	}
	return vmListFromProto(&message), nil
}

func vmListFromProto(message *platformpb.ListVMsResponse) VMList {
	list := VMList{Revision: orderedRevision(message.GetEpoch(), message.GetRevision())}
	for _, vm := range message.GetVms() {
		list.VMs = append(list.VMs, vmFromProto(vm))
	}
	return list
}

// vmToProto is the inverse of vmFromProto.
func vmToProto(vm VM) *platformpb.VM {
	message := &platformpb.VM{Name: vm.Name, Address: vm.Address, AvailabilityZone: vm.AvailabilityZone}
	switch vm.State {
	case VMLive:
		message.State = platformpb.VM_STATE_LIVE
	case VMLeaving:
		message.State = platformpb.VM_STATE_LEAVING
	}
	switch vm.Role {
	case VMProxy:
		message.Role = platformpb.VM_ROLE_PROXY
	case VMUpstream:
		message.Role = platformpb.VM_ROLE_UPSTREAM
	}
	return message
}
