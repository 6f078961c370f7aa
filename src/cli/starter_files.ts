/**
 * Contents of the files that `init` writes.
 *
 * @module
 */

/** A settings file for one instance on one machine. `newSecret` generates its keys. */
export function starterSettings(newSecret: () => string): string {
  return `; settings of a zinniapoint instance and of the tool
[instance]
name = instance-1
zone = zone-a
listen = 127.0.0.1:8080
peer_listen = 127.0.0.1:8081
advertise = 127.0.0.1:8080
peer_advertise = 127.0.0.1:8081

[platform]
store = 127.0.0.1:2379
list = 127.0.0.1:8500

[peers]
key = ${newSecret()}

[operator]
name = operator
key = ${newSecret()}
instances = 127.0.0.1:8080

[log]
level = info
`;
}

/** An operator set with one team, an urgent and a deferred queue, and a workload for each. */
export const starterSet = `; the operator set
[team first]

[share first]
team = first
weight = 1

[limit first]
team = first
running = 100

[queue counter]
urgency = urgent
teams = first
max_wait = 5s

[queue later]
urgency = deferred
teams = first

[workload lookup]
kind = service
queue = counter
cpu = 500m
memory = 256MiB
idempotent = true
timeout = 10s

[workload nightly]
kind = batch
queue = later
cpu = 1
memory = 1GiB
timeout = 10m
due = 8h
`;
