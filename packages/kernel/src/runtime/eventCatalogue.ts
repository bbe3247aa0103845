/** Numbered log events. docs/EVENTS.md lists the same events; a test compares both. */

/** Level of an event, in winston's customary names. */
export type EventLevel = 'error' | 'warn' | 'info' | 'debug';

/** Definition of one event. */
export interface EventDefinition {
  /** Stable number, never reused. */
  number: number;
  level: EventLevel;
  /** What happened, without values. */
  text: string;
  /** What an operator can do, for warnings and errors. */
  action?: string;
}

/**
 * Every event of the product, by name. Numbers: 1xx process, 2xx platform, 3xx mesh and membership,
 * 4xx budget and bills, 5xx requests and routing, 6xx configuration, 7xx operators' command.
 */
export const eventCatalogue = {
  'router-started': { number: 100, level: 'info', text: 'router is serving' },
  'router-stopping': { number: 101, level: 'info', text: 'router is stopping gracefully' },
  'router-stopped': { number: 102, level: 'info', text: 'router has stopped' },
  'service-failed': {
    number: 103,
    level: 'error',
    text: 'a service inside the router failed',
    action: 'Report it with the log; the router keeps serving what it can.',
  },
  'settings-invalid': {
    number: 104,
    level: 'error',
    text: 'the settings file was refused',
    action: 'Mend the place that the message names.',
  },
  'peer-health-changed': {
    number: 300,
    level: 'info',
    text: 'the judgement of a peer router changed',
  },
  'incarnation-renewed': {
    number: 301,
    level: 'warn',
    text: 'this router was sealed by its peers and goes on under a new incarnation',
    action: 'Look for pauses of the process or a partition just before; no action is needed.',
  },
  'holder-registered': { number: 400, level: 'info', text: 'router registered in the journal' },
  'holder-lost': {
    number: 401,
    level: 'warn',
    text: 'router was sealed by a peer and starts over as a new incarnation',
    action: 'Look for a pause of the process or a cut between it and its peers.',
  },
  'holder-sealed': { number: 402, level: 'info', text: 'a router that is gone was sealed' },
  'holder-in-doubt': {
    number: 403,
    level: 'warn',
    text: 'a router that is gone cannot be sealed, because a witness of it does not answer',
    action: 'Bring the witness back, or write the holder off once both are destroyed.',
  },
  'segment-rolled': { number: 404, level: 'info', text: 'bills were moved to a closed segment' },
  'backend-crashed': {
    number: 500,
    level: 'warn',
    text: 'a backend server broke off the requests that it ran',
    action: 'Look at that server; the requests are run elsewhere, alone at first.',
  },
  'request-quarantined': {
    number: 501,
    level: 'error',
    text: 'a request crashed the servers that ran it and is refused from now on',
    action: 'Find the caller by the fingerprint and have the request changed.',
  },
  'configuration-applied': {
    number: 600,
    level: 'info',
    text: 'a newer configuration is in force',
  },
  'declaration-unreadable': {
    number: 601,
    level: 'warn',
    text: 'a declared object cannot be read; its last good version stays in force',
    action: 'Apply the object again with the operators command.',
  },
  'configuration-relay': {
    number: 602,
    level: 'debug',
    text: 'this router began or ended to relay configuration to its data centre',
  },
  'declaration-contained': {
    number: 603,
    level: 'warn',
    text: 'a mistake in a declared object was contained',
    action: 'Change the object as the detail says.',
  },
} as const satisfies Record<string, EventDefinition>;

export type EventName = keyof typeof eventCatalogue;
