import test from "ava";
import { MemoryCluster } from "../fakes/memory_cluster.ts";
import { MEMBERS_PREFIX, OWNERSHIP_KEY } from "./cluster_protocol.ts";
import { Registration } from "./registration.ts";
import { Takeover } from "./takeover.ts";
import { defaultTiming } from "./timing.ts";

const UNITS = ["worker:a", "worker:b", "worker:c", "worker:d"];

async function startCluster(...ids: readonly string[]): Promise<MemoryCluster> {
  const cluster = new MemoryCluster({ units: UNITS });
  cluster.start(...ids);
  await cluster.run(10_000);
  return cluster;
}

function takeoverOf(cluster: MemoryCluster, id: string): Takeover {
  const { membership, store } = cluster.node(id);
  return new Takeover({
    membership,
    store,
    peers: cluster.network.join("asker"),
  });
}

test("claim: its conditions fail once the holder has registered again", async (t) => {
  const cluster = await startCluster("1", "2", "3");
  const { service } = cluster;
  for (const id of ["1", "2"]) cluster.node(id).ownership.stop();
  cluster.pause("3");
  await cluster.run(5_500);
  t.false(service.rows.has(MEMBERS_PREFIX + "3"));
  const [claim] = await takeoverOf(cluster, "1").claims();
  cluster.resume("3");
  await cluster.run(500);
  t.true(service.rows.has(MEMBERS_PREFIX + "3"));
  service.rows.delete(MEMBERS_PREFIX + "3");
  t.is(service.apply(claim!.conditions, []).type, "conflict");
});

test("claim: none until the store has been reachable for a whole lease", async (t) => {
  const cluster = await startCluster("1", "2");
  cluster.cutStore();
  await cluster.run(10_000);
  cluster.kill("2");
  await cluster.run(10_000);
  cluster.healStore();
  await cluster.run(4_000);
  t.deepEqual(await takeoverOf(cluster, "1").claims(), []);
  t.true(cluster.node("1").ownership.map().members.has("2"));
  await cluster.run(4_000);
  t.deepEqual(cluster.unserved(), []);
});

test("registration: a member that has not read the latest map cannot register again", async (t) => {
  const cluster = await startCluster("1");
  const { instance, store, clock } = cluster.node("1");
  const registration = new Registration({
    self: { ...instance, id: "9" },
    store,
    clock,
    timing: defaultTiming,
    mapRevision: () => 0,
  });
  t.is((await registration.renewOrRegister())._unsafeUnwrap().type, "held");
  await cluster.run(6_000);
  t.is((await registration.renewOrRegister())._unsafeUnwrap().type, "again");
  t.is((await registration.renewOrRegister())._unsafeUnwrap().type, "again");
  t.false(registration.lease.isValid(clock.monotonic()));
  t.true(cluster.service.rows.has(OWNERSHIP_KEY));
});
