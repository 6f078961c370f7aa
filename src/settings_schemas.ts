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
    listen: {
      unit: unit.address,
      help: "Address to listen on for client requests.",
    },
    peer_listen: {
      unit: unit.address,
      help: "Address to listen on for other instances.",
    },
    advertise: {
      unit: unit.reachableAddress,
      help: "Address at which clients reach the instance.",
    },
    peer_advertise: {
      unit: unit.reachableAddress,
      help: "Address at which other instances reach it.",
    },
  },
  platform: {
    store: {
      unit: unit.nonEmptyAddresses,
      help: "Endpoints of the key-value service.",
    },
    list: {
      unit: unit.address,
      help: "Endpoint of the list of workers and instances.",
    },
  },
  peers: {
    key: {
      unit: unit.secret,
      help: "Secret by which instances authenticate to one another.",
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
      help: "Secret that authorizes the tool at an instance.",
    },
    instances: {
      unit: unit.addresses,
      fallback: "",
      help:
        "Instances or their load balancer, which the tool tries in turn; if empty, the instance of this file.",
    },
  },
  log: {
    level: {
      unit: unit.oneOf(LOG_LEVELS),
      fallback: "info",
      help: "Lowest level of events that are logged.",
    },
  },
  trace: {
    exporter: {
      unit: unit.oneOf(["none", "otlp"]),
      fallback: "none",
      help: "Where spans are exported to.",
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
      help: "Time after which others take over from an unresponsive instance.",
    },
    store_timeout: {
      unit: unit.positiveDuration,
      fallback: "2s",
      help: "Timeout of calls to the key-value service.",
    },
    shutdown: {
      unit: unit.positiveDuration,
      fallback: "60s",
      help: "Timeout for requests in flight at shutdown.",
    },
  },
} as const satisfies Readonly<Record<string, Schema>>;
