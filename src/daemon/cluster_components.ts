/**
 * Components of an instance that coordinate with other instances through the
 * platform: fleet, membership, ownership, limits and configuration.
 *
 * @module
 */
import { TeamAllowances } from "../controllers/team_allowances.ts";
import { ConfigurationFeed } from "../controllers/configuration.ts";
import { Fleet } from "../controllers/fleet.ts";
import { Limits } from "../controllers/limits.ts";
import { Membership } from "../controllers/membership.ts";
import { Ownership } from "../controllers/ownership.ts";
import { timingFor } from "../controllers/timing.ts";
import type { Authority } from "../ports/authority.ts";
import type { InstanceOptions } from "./instance_options.ts";

/** The components, and a function that returns the IDs of the other instances. */
export type ClusterComponents = ReturnType<typeof createClusterComponents>;

/** Creates the components. `gained` is called with a team that may start more work. */
export function createClusterComponents(
  options: InstanceOptions,
  onAllowanceGained: (team: string) => void,
) {
  const { self, list, peers, clock, log } = options;
  const timing = timingFor(options.leaseMs);
  const membership = new Membership({ ...options, timing });
  const ownership = new Ownership({ ...options, membership });
  const limits = new Limits({ membership, ownership, peers, clock });
  const members = () =>
    membership.members()
      .map((member) => member.id)
      .filter((id) => id !== self.id);
  return {
    fleet: new Fleet({ list, clock, log }),
    membership,
    ownership,
    authority: createAuthority(membership, ownership),
    limits,
    allowances: new TeamAllowances(limits, onAllowanceGained),
    configuration: new ConfigurationFeed({
      ...options,
      self: self.id,
      members,
    }),
    members,
  };
}

function createAuthority(
  membership: Membership,
  ownership: Ownership,
): Authority {
  return {
    hasValidLease: () => membership.mayDecide(),
    mayDecide: (unit) => ownership.mayDecide(unit),
    owned: (prefix) => ownership.owned(prefix),
    ownerOf: (unit) => ownership.ownerOf(unit),
    fenceOf: (unit) => ownership.fenceOf(unit),
    previousFenceOf: (unit) => ownership.previousFenceOf(unit),
    onChange: (listener) => ownership.onChange(listener),
  };
}
