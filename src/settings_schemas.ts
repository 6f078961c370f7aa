/**
 * Schemas of the sections of `zinniapoint.ini`, with units and defaults. The
 * help texts are also the rows of the settings page of the documentation.
 *
 * @module
 */
import type { Schema } from "./ini/schema.ts";
import * as unit from "./ini/units.ts";
import type { LogLevel } from "./logger.ts";

const LOG_LEVELS = ["debug", "info", "warn", "error"] satisfies LogLevel[];

/** Schemas by section name. */
export const settingsSchemas = {
  instance: {
    name: { unit: unit.nonEmptyText, help: "Name in logs and traces." },
    zone: {
      unit: unit.objectReference,
      help: "Availability zone that the instance runs in.",
    },
    listen: { unit: unit.address, help: "Where callers are listened for." },
    peer_listen: { unit: unit.address, help: "Where peers are listened for." },
    advertise: {
      unit: unit.reachableAddress,
      help: "Address on which callers reach the instance.",
    },
    peer_advertise: {
      unit: unit.reachableAddress,
      help: "Address on which peers reach the instance.",
    },
  },
  platform: {
    store: {
      unit: unit.someAddresses,
      help: "Endpoints of the key-value service.",
    },
    list: { unit: unit.address, help: "Endpoint of the list." },
  },
  peers: {
    key: {
      unit: unit.secret,
      help: "Secret that all instances prove to one another.",
    },
  },
  operator: {
    name: {
      unit: unit.text,
      fallback: "",
      help: "Name that publications carry; the tool needs it to publish.",
    },
    key: {
      unit: unit.secret,
      help: "Secret that lets the tool ask an instance.",
    },
    instances: {
      unit: unit.addresses,
      fallback: "",
      help:
        "Instances or their balancer, which the tool asks in turn; the one of the file if empty.",
    },
  },
  log: {
    level: {
      unit: unit.oneOf(LOG_LEVELS),
      fallback: "info",
      help: "Least urgent events that are logged.",
    },
  },
  trace: {
    exporter: {
      unit: unit.oneOf(["none", "otlp"]),
      fallback: "none",
      help: "Where spans go.",
    },
    endpoint: {
      unit: unit.httpUrl,
      fallback: "http://127.0.0.1:4318/v1/traces",
      help: "OTLP endpoint over HTTP.",
    },
  },
  timing: {
    lease: {
      unit: unit.positiveDuration,
      fallback: "5s",
      help: "Time after which others take over from a silent instance.",
    },
    store_timeout: {
      unit: unit.positiveDuration,
      fallback: "2s",
      help: "Longest wait for an answer of the key-value service.",
    },
    shutdown: {
      unit: unit.positiveDuration,
      fallback: "60s",
      help: "Longest wait for requests in flight at shutdown.",
    },
  },
} as const satisfies Readonly<Record<string, Schema>>;
