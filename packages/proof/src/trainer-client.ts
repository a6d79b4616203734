/** A client of the trainer API: publishes weight versions, creates steps and reads samples. */
import { request } from 'undici';

import { type Cluster, sleep } from './cluster';

const RETRY_INTERVAL_MS = 200;
const MAX_ATTEMPTS = 150;
const PAGE_WAIT_MS = 2000;
const HTTP_OK = 200;

/** A sample as the trainer API delivers it. */
export interface DeliveredSample {
  /** Its position in the step, from 1; the cursor of the next page. */
  readonly number: number;
  readonly id: string;
  readonly tokens: readonly string[];
  /** Which tokens each weight version generated, from `fromToken` up to but without `toToken`. */
  readonly segments: readonly {
    readonly version: number;
    readonly fromToken: number;
    readonly toToken: number;
  }[];
}

/** A group of a step: `count` samples of one prompt. */
export interface GroupPlan {
  readonly id: string;
  readonly prompt: string;
  readonly count: number;
  readonly maxTokens: number;
  readonly seed?: number;
}

/** A page of samples, as the trainer API returns it. */
export interface SamplePage {
  readonly samples: readonly DeliveredSample[];
  /** Whether the step has no further samples. */
  readonly done?: boolean;
  /** The cursor of the next page. */
  readonly next?: number;
}

/** A trainer. It sends a call to one entry after another until one responds with status 200. */
export class TrainerClient {
  readonly #cluster: Cluster;

  readonly #path: string;

  readonly #team: string;

  #callCount = 0;

  /**
   * @param cluster - the deployment
   * @param options - the trainer's name, and the team whose key it sends
   */
  constructor(cluster: Cluster, options: { trainer: string; team: string }) {
    this.#cluster = cluster;
    this.#path = `/v1/trainers/${options.trainer}`;
    this.#team = options.team;
  }

  /** Publishes a weight version. */
  async publish(version: number): Promise<void> {
    await this.#callWithRetries('POST', `${this.#path}/weights`, { version });
  }

  /** Creates a step. */
  async createStep(step: string, groups: readonly GroupPlan[]): Promise<void> {
    await this.#callWithRetries('POST', `${this.#path}/steps`, { step, groups });
  }

  /** Reads the page of samples after a cursor; waits up to `waitMs` milliseconds for samples. */
  async readPage(step: string, after: number, waitMs = PAGE_WAIT_MS): Promise<SamplePage> {
    const query = `after=${after}&waitMs=${waitMs}`;
    return (await this.#callWithRetries(
      'GET',
      `${this.#path}/steps/${step}/samples?${query}`,
    )) as SamplePage;
  }

  /** Reads pages of a step until `count` samples have been delivered. */
  async collect(step: string, count: number): Promise<DeliveredSample[]> {
    const samples: DeliveredSample[] = [];
    while (samples.length < count) {
      const page = await this.readPage(step, samples.at(-1)?.number ?? 0);
      samples.push(...page.samples);
    }
    return samples;
  }

  async #callWithRetries(method: 'GET' | 'POST', path: string, body?: object): Promise<unknown> {
    let lastResponse = '';
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const res = await this.#call(method, path, body);
      if (res.status === HTTP_OK) return JSON.parse(res.text);
      lastResponse = `${res.status} ${res.text}`;
      await sleep(RETRY_INTERVAL_MS);
    }
    throw new Error(`${method} ${path} never succeeded, last response: ${lastResponse}`);
  }

  async #call(method: 'GET' | 'POST', path: string, body?: object) {
    const urls = this.#cluster.entryUrls;
    this.#callCount += 1;
    const url = `${urls[this.#callCount % urls.length] ?? ''}${path}`;
    const headers = {
      authorization: this.#cluster.createAuthorization(this.#team),
      ...(body && { 'content-type': 'application/json' }),
    };
    const options = { method, headers, ...(body && { body: JSON.stringify(body) }) };
    try {
      const res = await request(url, options);
      return { status: res.statusCode, text: await res.body.text() };
    } catch (error) {
      return { status: 0, text: String(error) };
    }
  }
}
