/**
 * Status and worker list of an instance, for operators.
 *
 * @module
 */
import type { Instance } from "../daemon/instance.ts";

/** Status of an instance; the property names are part of the JSON answer. */
export function statusOf(instance: Instance) {
  const { membership, ownership, settings, queue, pool } = instance;
  const publication = instance.configuration.current()?.publication;
  const units = ownership.owned("");
  return {
    instance: membership.self.id,
    zone: membership.self.zone,
    ready: instance.ready(),
    stopping: instance.stopping,
    publication: publication && {
      number: publication.number,
      operator: publication.operator,
      at: publication.at,
    },
    configurationAgeMs: Math.round(instance.configuration.ageMs()),
    store: membership.reachability().type,
    members: membership.members().map(({ id, zone }) => ({ id, zone })),
    mapEpoch: ownership.map().epoch,
    ownedUnits: units.length,
    ownedWorkers: ownership.owned("worker:").length,
    waiting: queue.size,
    requestsInFlight: instance.requests.inFlight,
    tasks: instance.taskSupervisor.size,
    deferred: instance.deferred.counts(),
    totals: pool.totals(),
    teams: [...settings.set().teams.keys()].map((team) => ({
      team,
      limit: settings.limits().get(team),
      weight: instance.shares.weight(team),
      fleetUsage: instance.shares.usage(team),
      rank: Number(instance.shares.rank(team).toFixed(4)),
      here: instance.limits.usage().find((usage) => usage.team === team),
    })),
  };
}

/** Workers of the fleet as seen by an instance; the property names are part of the JSON answer. */
export function workersOf(instance: Instance) {
  const { fleet, pool, ownership, settings } = instance;
  return fleet.workers().map((worker) => ({
    id: worker.id,
    zone: worker.zone,
    rack: worker.rack,
    capacity: worker.capacity,
    presence: fleet.isLive(worker.id) ? "live" : "leaving",
    drained: settings.isDrained(worker.id, worker.zone),
    owner: ownership.ownerOf(`worker:${worker.id}`)?.id,
    ownedHere: pool.worker(worker.id) !== undefined,
    usable: pool.isUsable(worker.id),
    free: pool.free(worker.id),
  }));
}
