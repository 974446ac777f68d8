"""Bundles the planners for the number of machines: scale-out, scale-in and rebalancing."""

from __future__ import annotations

from dataclasses import dataclass, field

from oatport.control.scaling.cloud_availability import CloudAvailability
from oatport.control.scaling.rebalancing import ReplicaRebalancer
from oatport.control.scaling.scale_in import ScaleInPlanner
from oatport.control.scaling.scale_out import ScaleOutPlanner
from oatport.control.state.cluster_state import ClusterState


@dataclass(slots=True)
class CapacityPlanner:
    """Holds the capacity planners of one leader and the cloud availability that they share."""

    cluster: ClusterState
    availability: CloudAvailability = field(init=False)
    scale_out: ScaleOutPlanner = field(init=False)
    scale_in: ScaleInPlanner = field(init=False)
    rebalancer: ReplicaRebalancer = field(init=False)

    def __post_init__(self) -> None:
        self.availability = CloudAvailability(self.cluster)
        self.scale_out = ScaleOutPlanner(self.cluster, self.availability)
        self.scale_in = ScaleInPlanner(self.cluster)
        self.rebalancer = ReplicaRebalancer(self.cluster)
