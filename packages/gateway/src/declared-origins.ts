/** The origins at which streams may begin, as all processes have declared them. */
import { createHash } from 'node:crypto';

import type {
  Clock,
  Logger,
  Metrics,
  Millis,
  MonoTime,
  Offset,
  ServiceId,
  SoftwareVersion,
} from '@hibiscushill/base';
import type { KeyedLog, KeyedRecord } from '@hibiscushill/log';
import { type StreamOrigin, isSameOrigin } from '@hibiscushill/routing';
import { z } from 'zod';

import type { ServingRoute } from './serving-config';
import type { TargetDirectory, TargetRegistration } from './target-directory';

// A store that refuses calls isn't asked more often than this.
const RETRY_INTERVAL_MS = 200;
const WAIT_STEP_MS = 20;
// While a route has several origins, those that were withdrawn are looked for this often.
const REFRESH_INTERVAL_MS = 60_000;
// Longer than any stream is taken up again after it began.
const WITHDRAWAL_DELAY_MS = 600_000;
const KEY_LENGTH_HEX = 32;

const DeclarationSchema = z.object({
  route: z.string(),
  service: z.string() as unknown as z.ZodType<ServiceId>,
  software: (z.string() as unknown as z.ZodType<SoftwareVersion>).optional(),
});

/** A route, and an origin at which its streams may begin. */
interface Declaration extends StreamOrigin {
  readonly route: string;
}

/** What a read of the log has found. */
interface KnownDeclarations {
  /** By their keys on the log. */
  readonly declarations: ReadonlyMap<string, Declaration>;
  readonly end: Offset;
}

/** The keyed log of declarations, the targets and the routes. */
export interface DeclaredOriginsOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly log: KeyedLog;
  readonly directory: TargetDirectory;
  /** Lists the routes whose streams can be resumed. */
  readonly listRoutes: () => readonly ServingRoute[];
  /** Whether this process withdraws the origins that no target has any more. */
  readonly isWithdrawing: () => boolean;
}

/**
 * Declares each origin on the log before a stream begins there. So a process that reads a single
 * origin of a route knows where all its streams began, without a record of each stream.
 */
export class DeclaredOrigins {
  readonly #options: DeclaredOriginsOptions;

  /** What was read last. */
  #known: KnownDeclarations = { declarations: new Map(), end: 0 as Offset };

  /** The ids of the origins that this process has declared and that targets have had since. */
  readonly #own = new Set<string>();

  readonly #listedAt = new Map<string, MonoTime>();

  readonly #mixedRoutes = new Set<string>();

  #isDeclaring = false;

  #failedAt = -Infinity as MonoTime;

  #readAt = -Infinity as MonoTime;

  #reading: Promise<KnownDeclarations | undefined> | undefined;

  #nextReading: Promise<KnownDeclarations | undefined> | undefined;

  /** @param options - the log, the targets and the routes */
  constructor(options: DeclaredOriginsOptions) {
    this.#options = options;
  }

  /** Whether streams of a route may have begun at several origins. */
  isMixed(route: ServingRoute): boolean {
    return this.#mixedRoutes.has(route.name);
  }

  /** Whether a stream of a route may begin at a target. */
  mayBeginAt(route: ServingRoute, target: TargetRegistration): boolean {
    return this.#own.has(createId(createDeclaration(route, target)));
  }

  /**
   * Waits until a stream of a route may begin at one of its targets.
   *
   * @param isAllowed - tells whether the stream may begin at a target in other respects
   * @returns false if no origin could be declared in time
   */
  async waitUntilDeclared(
    route: ServingRoute,
    maxMs: Millis,
    isAllowed: (target: TargetRegistration) => boolean = () => true,
  ): Promise<boolean> {
    const { clock } = this.#options;
    const endsAt = clock.mono() + maxMs;
    const mayBeginAt = (target: TargetRegistration): boolean =>
      isAllowed(target) && this.mayBeginAt(route, target);
    while (!this.#listTargets(route).some(mayBeginAt)) {
      if (clock.mono() >= endsAt) return false;
      this.update();
      await clock.sleep(WAIT_STEP_MS);
    }
    return true;
  }

  /**
   * Reads the origins at which streams of a route may have begun by now.
   *
   * @returns undefined if the log can't be read
   */
  async read(route: ServingRoute): Promise<readonly StreamOrigin[] | undefined> {
    const known = await this.#read();
    return known && [...known.declarations.values()].filter((one) => one.route === route.name);
  }

  /** Declares the origins of targets that have none yet; called repeatedly. */
  update(): void {
    const routes = this.#options.listRoutes();
    const now = this.#options.clock.mono();
    const listed = new Map(
      this.#listDeclarations(routes).map((declaration) => [createId(declaration), declaration]),
    );
    listed.forEach((_, id) => this.#listedAt.set(id, now));
    // An origin that comes back may have been withdrawn meanwhile.
    [...this.#own].filter((id) => !listed.has(id)).forEach((id) => this.#own.delete(id));
    this.#findMixedRoutes(routes, [...listed.values()]);
    if (this.#isDeclaring || now - this.#failedAt < RETRY_INTERVAL_MS) return;
    const missing = [...listed].filter(([id]) => !this.#own.has(id));
    const isOutdated = this.#mixedRoutes.size > 0 && now - this.#readAt > REFRESH_INTERVAL_MS;
    if (missing.length === 0 && !isOutdated) return;
    this.#isDeclaring = true;
    void this.#declare(missing.map(([, declaration]) => declaration)).finally(() => {
      this.#isDeclaring = false;
    });
  }

  /** Lists the origins of all routes by the targets that are listed now. */
  #listDeclarations(routes: readonly ServingRoute[]): Declaration[] {
    const services = new Set(routes.flatMap(({ backends }) => backends.map((one) => one.service)));
    const origins = [...services].flatMap((service) => {
      // Origins of evacuated targets stay declared, so that streams may begin there at once when the
      // evacuation ends.
      const targets = this.#options.directory.listStaying(service);
      const versions = new Set(targets.map(({ software }) => software));
      return [...versions].map((software) => ({ service, software }));
    });
    return routes.flatMap((route) =>
      origins
        .filter(({ service }) => route.backends.some((one) => one.service === service))
        .map((origin) => createDeclaration(route, origin)),
    );
  }

  #listTargets(route: ServingRoute): TargetRegistration[] {
    return route.backends.flatMap(({ service }) => this.#options.directory.listUsable(service));
  }

  #findMixedRoutes(routes: readonly ServingRoute[], listed: readonly Declaration[]): void {
    const all = [...this.#known.declarations.values(), ...listed];
    this.#mixedRoutes.clear();
    routes
      .filter(({ name }) => {
        const [first, ...others] = all.filter((one) => one.route === name);
        return first !== undefined && others.some((other) => !isSameOrigin(first, other));
      })
      .forEach(({ name }) => this.#mixedRoutes.add(name));
  }

  async #declare(missing: readonly Declaration[]): Promise<void> {
    const { clock, metrics, logger, log } = this.#options;
    for (const declaration of missing) {
      const key = createLogKey(declaration);
      const done = await log.append({ key, value: Buffer.from(JSON.stringify(declaration)) });
      if (done.isErr()) {
        metrics.countRetry(done.error.code);
        this.#failedAt = clock.mono();
        logger.warn('An origin of streams was not declared and will be retried.', {
          ...declaration,
          code: done.error.code,
        });
        return;
      }
      this.#own.add(createId(declaration));
      logger.info('An origin of streams was declared.', { ...declaration });
    }
    const known = await this.#read();
    if (known && this.#options.isWithdrawing()) await this.#withdraw(known);
  }

  /** Withdraws what no target has had for long. */
  async #withdraw({ declarations, end }: KnownDeclarations): Promise<void> {
    const { clock, logger, log } = this.#options;
    const now = clock.mono();
    for (const [key, declaration] of declarations) {
      const id = createId(declaration);
      const listedAt = this.#listedAt.get(id) ?? now;
      this.#listedAt.set(id, listedAt);
      if (now - listedAt < WITHDRAWAL_DELAY_MS) continue;
      // An append that takes effect late must not undo a declaration that came meanwhile.
      const done = await log.append({ key, value: undefined }, end);
      if (done.isOk()) logger.info('An origin of streams was withdrawn.', { ...declaration });
    }
  }

  /** Reads all declarations by a read that is sent after this call. */
  #read(): Promise<KnownDeclarations | undefined> {
    if (this.#reading) {
      this.#nextReading ??= this.#reading.then(() => {
        this.#nextReading = undefined;
        return this.#read();
      });
      return this.#nextReading;
    }
    this.#reading = this.#fetch().finally(() => {
      this.#reading = undefined;
    });
    return this.#reading;
  }

  async #fetch(): Promise<KnownDeclarations | undefined> {
    const { clock, metrics, logger, log } = this.#options;
    const sentAt = clock.mono();
    const snapshot = await log.readSnapshot();
    if (snapshot.isErr()) {
      metrics.countRetry(snapshot.error.code);
      return undefined;
    }
    const decoded = snapshot.value.records
      .filter(({ value }) => value !== undefined)
      .map(decodeDeclaration);
    if (decoded.includes(undefined)) {
      // It may be an origin of any route.
      logger.warn('A declaration of an origin of streams is malformed.');
      return undefined;
    }
    this.#readAt = sentAt;
    const declarations = new Map(decoded.filter((entry) => entry !== undefined));
    this.#known = { declarations, end: snapshot.value.end };
    return this.#known;
  }
}

function createDeclaration(
  { name: route }: ServingRoute,
  { service, software }: StreamOrigin,
): Declaration {
  return { route, service, software };
}

/** Tells declarations apart in memory. */
function createId({ route, service, software }: Declaration): string {
  return `${route}\n${service}\n${software ?? ''}`;
}

function createLogKey({ route, service, software }: Declaration): string {
  const text = JSON.stringify([route, service, software ?? null]);
  return createHash('sha256').update(text).digest('hex').slice(0, KEY_LENGTH_HEX);
}

function decodeDeclaration({ key, value }: KeyedRecord): [string, Declaration] | undefined {
  try {
    const text = Buffer.from(value ?? []).toString('utf8');
    const parsed = DeclarationSchema.safeParse(JSON.parse(text));
    return parsed.success ? [key, { software: undefined, ...parsed.data }] : undefined;
  } catch {
    return undefined;
  }
}
