/** Checks declared objects against each other and against the objects in force. */

import type {
  ClientAccountDeclaration,
  Declaration,
  ServiceDeclaration,
  WorkClassDeclaration,
} from '../../types/declaration.js';
import type { ObjectKey, SourceFile, ParsedObject } from './readDeclarations.js';
import { faultOf, objectName, readDeclarations } from './readDeclarations.js';
import type { SourceFault } from '../../utils/jsonc.js';
import { closestWord } from '../../utils/jsoncCheck.js';
import { completeDeclaration } from './declarationSchema.js';

/** Objects that may be put in force, and the faults of the rejected ones. */
export interface CheckedDeclarations {
  accepted: Declaration[];
  faults: SourceFault[];
  /** Faulty objects that could be identified. Their versions in force stay in force. */
  faulty: ObjectKey[];
  /** Whether some faulty object could not be identified, so that nothing may be pruned. */
  unnamedFaults: boolean;
}

interface Candidate {
  object: ParsedObject;
  declaration: Declaration;
}

/** Objects that others may refer to: the candidates and the objects in force. */
interface ReferenceIndex {
  services: Map<string, ServiceDeclaration>;
  classes: Map<string, WorkClassDeclaration>;
}

type ReportFault = (path: (string | number)[], message: string, hint: string) => void;

/**
 * Reads and checks declaration files. Objects may refer to each other and to those in `inForce`.
 * An object that refers to a faulty one is faulty too, unless an older version is in force.
 *
 * @example
 * const { accepted, faults } = checkDeclarations([{ file: 'fleet.jsonc', text }], []);
 */
export function checkDeclarations(
  files: readonly SourceFile[],
  inForce: readonly Declaration[] = [],
): CheckedDeclarations {
  const read = readDeclarations(files);
  const faults = [...read.faults];
  const faulty = [...read.faulty];
  let candidates = completeObjects(read.objects, inForce);
  // a rejected object invalidates the objects that refer to it, so repeat until none is found
  for (let found = true; found;) {
    found = false;
    const references = createReferenceIndex(candidates, inForce);
    const sound: Candidate[] = [];
    for (const candidate of candidates) {
      const own = checkCandidate(candidate, candidates, inForce, references);
      if (own.length === 0) {
        sound.push(candidate);
        continue;
      }
      found = true;
      faults.push(...own);
      faulty.push(keyOf(candidate.declaration));
    }
    candidates = sound;
  }
  const accepted = candidates.map((candidate) => candidate.declaration);
  return { accepted, faults, faulty, unnamedFaults: read.unnamedFaults };
}

function completeObjects(
  objects: readonly ParsedObject[],
  inForce: readonly Declaration[],
): Candidate[] {
  const parsed = objects.map((object) => object.parsed);
  const services = [...inForce, ...parsed].filter((one) => one.kind === 'Service');
  const types = new Map(services.map((service) => [service.name, service.type]));
  const isPlain = (service: string): boolean => types.get(service) === 'plain';
  return objects.map((object) => ({
    object,
    declaration: completeDeclaration(object.parsed, isPlain),
  }));
}

function createReferenceIndex(
  candidates: readonly Candidate[],
  inForce: readonly Declaration[],
): ReferenceIndex {
  const references: ReferenceIndex = { services: new Map(), classes: new Map() };
  for (const one of [...inForce, ...candidates.map(({ declaration }) => declaration)]) {
    if (one.kind === 'Service') references.services.set(one.name, one);
    if (one.kind === 'WorkClass') references.classes.set(one.name, one);
  }
  return references;
}

function checkCandidate(
  candidate: Candidate,
  all: readonly Candidate[],
  inForce: readonly Declaration[],
  references: ReferenceIndex,
): SourceFault[] {
  const faults: SourceFault[] = [];
  const report: ReportFault = (path, message, hint) => {
    faults.push(faultOf(candidate.object, path, message, hint));
  };
  checkDuplicate(candidate, all, report);
  const { declaration } = candidate;
  switch (declaration.kind) {
    case 'WorkClass':
      checkWorkClass(declaration, references, report);
      break;
    case 'ClientAccount':
      checkAccountClass(declaration, references, report);
      checkAccountKeys(candidate, declaration, all, inForce, report);
      break;
    case 'Service':
      checkService(candidate, declaration, all, inForce, report);
      break;
    case 'Deployment':
      checkDeployment(candidate, all, inForce, report);
      break;
  }
  return faults;
}

// both copies are rejected, because it is unknown which one was meant
function checkDuplicate(
  candidate: Candidate,
  all: readonly Candidate[],
  report: ReportFault,
): void {
  const name = objectName(candidate.declaration);
  const other = all.find((one) => one !== candidate && objectName(one.declaration) === name);
  if (!other) return;
  report(
    ['name'],
    `${name} is declared twice, also in ${placeOf(other)}`,
    'Remove one of the two or give it another name.',
  );
}

function checkWorkClass(
  declaration: WorkClassDeclaration,
  references: ReferenceIndex,
  report: ReportFault,
): void {
  const { target, service } = declaration;
  if (!references.services.has(service)) {
    report(
      ['service'],
      `there is no service "${service}"`,
      suggestName(service, [...references.services.keys()], 'Service'),
    );
  }
  if (target.completeMs >= target.firstTokenMs) return;
  report(
    ['target', 'completeMs'],
    `the whole answer (${target.completeMs} ms) cannot come before its first token (${target.firstTokenMs} ms)`,
    `Raise completeMs to at least ${target.firstTokenMs}, or lower firstTokenMs.`,
  );
}

function checkAccountClass(
  declaration: ClientAccountDeclaration,
  references: ReferenceIndex,
  report: ReportFault,
): void {
  const { defaultClass } = declaration;
  if (defaultClass === undefined || references.classes.has(defaultClass)) return;
  report(
    ['defaultClass'],
    `there is no class "${defaultClass}"`,
    suggestName(defaultClass, [...references.classes.keys()], 'WorkClass'),
  );
}

// if two accounts shared a key, one would be billed for the requests of the other
function checkAccountKeys(
  candidate: Candidate,
  declaration: ClientAccountDeclaration,
  all: readonly Candidate[],
  inForce: readonly Declaration[],
  report: ReportFault,
): void {
  const others = otherDeclarations(candidate, all, inForce).filter(
    (one) => one.kind === 'ClientAccount',
  );
  for (const [index, digest] of declaration.apiKeyDigests.entries()) {
    const owner = others.find((other) => other.apiKeyDigests.includes(digest));
    if (!owner) continue;
    report(
      ['apiKeyDigests', index],
      `this API key belongs to the account "${owner.name}" too`,
      'Create a separate key for each account and write its digest.',
    );
  }
}

function checkService(
  candidate: Candidate,
  declaration: ServiceDeclaration,
  all: readonly Candidate[],
  inForce: readonly Declaration[],
  report: ReportFault,
): void {
  if (declaration.type === 'plain' && declaration.models.length > 0) {
    report(
      ['models'],
      'a plain service serves no models',
      'Remove models, or set type to "model".',
    );
  }
  if (declaration.type === 'model' && declaration.models.length === 0) {
    report(['models'], 'a model service needs a model name', 'Add the names that callers ask for.');
  }
  const others = otherDeclarations(candidate, all, inForce).filter((one) => one.kind === 'Service');
  for (const [index, model] of declaration.models.entries()) {
    const owner = others.find((other) => other.models.includes(model));
    if (!owner) continue;
    report(
      ['models', index],
      `the model "${model}" is served by "${owner.name}" too`,
      'Give the model to one service only, or give it another name here.',
    );
  }
}

function checkDeployment(
  candidate: Candidate,
  all: readonly Candidate[],
  inForce: readonly Declaration[],
  report: ReportFault,
): void {
  const other = otherDeclarations(candidate, all, inForce).find((one) => one.kind === 'Deployment');
  if (!other || other.name === candidate.declaration.name) return;
  report(
    ['name'],
    `the deployment is already called "${other.name}"`,
    `There is one deployment; write its settings under the name "${other.name}".`,
  );
}

/** All other objects that would be in force; candidates replace their older versions. */
function otherDeclarations(
  candidate: Candidate,
  all: readonly Candidate[],
  inForce: readonly Declaration[],
): Declaration[] {
  const candidates = all.map(({ declaration }) => declaration);
  const replaced = new Set(candidates.map(objectName));
  const unreplaced = inForce.filter((one) => !replaced.has(objectName(one)));
  return [...unreplaced, ...candidates.filter((one) => one !== candidate.declaration)];
}

function suggestName(name: string, known: string[], kind: string): string {
  const closest = closestWord(name, known);
  if (closest) return `Did you mean "${closest}"?`;
  const list = known.length === 0 ? 'none is declared yet' : `known are ${known.join(', ')}`;
  return `Declare a ${kind} of that name or name another one; ${list}.`;
}

function placeOf(candidate: Candidate): string {
  const { document, at } = candidate.object;
  return `${document.file}:${document.positionOf(at).line}`;
}

function keyOf(declaration: Declaration): ObjectKey {
  return { kind: declaration.kind, name: declaration.name };
}
