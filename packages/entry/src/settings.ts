/** The settings of `hibiscus-entry`. */
import {
  type InstanceId,
  type SettingValues,
  type ZoneId,
  createSetting,
  integerText,
  listText,
  requiredText,
} from '@hibiscushill/base';
import { z } from 'zod';

/** Every setting of the entry. */
export const ENTRY_SETTINGS = {
  instance: createSetting('instance', 'Id of the instance.', requiredText<InstanceId>()),
  zone: createSetting('zone', 'Availability zone of the instance.', requiredText<ZoneId>()),
  listen: createSetting(
    'listen',
    'Address that the HTTP server for callers listens on.',
    requiredText(),
    '127.0.0.1:0',
  ),
  innerListen: createSetting(
    'inner-listen',
    'Address that the server for other entries listens on.',
    requiredText(),
    '127.0.0.1:0',
  ),
  logUrl: createSetting('log-url', "Base URL of the platform's log.", z.url()),
  ordersUrl: createSetting('orders-url', 'Base URL of the target orders.', z.url()),
  usageUrl: createSetting('usage-url', 'Base URL of the usage reports.', z.url()),
  instancesUrl: createSetting('instances-url', 'Base URL of the instance list.', z.url()),
  peers: createSetting(
    'peers',
    'Inner addresses of other entries, in addition to those in the instance list.',
    listText(),
    '',
  ),
  subsetSize: createSetting(
    'subset-size',
    'Maximum number of targets of a service that this entry keeps links to.',
    integerText(1, 10_000),
    '64',
  ),
  configAgeMs: createSetting(
    'config-age-ms',
    "Age of the configuration's confirmation above which requests are refused, in milliseconds.",
    integerText(100, 60_000),
    '2500',
  ),
  bodyBytes: createSetting(
    'body-bytes',
    'Maximum size of a request body, in bytes.',
    integerText(1, 64 * 1024 * 1024),
    '4194304',
  ),
  headerBytes: createSetting(
    'header-bytes',
    'Maximum size of the request line and headers, in bytes.',
    integerText(1024, 1024 * 1024),
    '16384',
  ),
  targetPolicy: createSetting(
    'target-policy',
    'Policy that chooses targets: `affinity`, or `random` as a baseline.',
    z.enum(['affinity', 'random']),
    'affinity',
  ),
  admission: createSetting(
    'admission',
    'Admission policy: `bounded` by the limits of each team, or `open` (no limits) as a baseline.',
    z.enum(['bounded', 'open']),
    'bounded',
  ),
  hedging: createSetting(
    'hedging',
    'Hedging policy for idempotent requests: `quantile` (of recent latencies) or `none`.',
    z.enum(['quantile', 'none']),
    'quantile',
  ),
  usageWindowMs: createSetting(
    'usage-window-ms',
    'Length of a usage window, in milliseconds; the same at every entry.',
    integerText(1000, 86_400_000),
    '3600000',
  ),
  usageGraceMs: createSetting(
    'usage-grace-ms',
    'Time between the end of a usage window and its closing, in milliseconds.',
    integerText(0, 3_600_000),
    '30000',
  ),
  drainMs: createSetting(
    'drain-ms',
    'Maximum time that a shutdown waits for open requests, in milliseconds.',
    integerText(0, 3_600_000),
    '60000',
  ),
  statsdPort: createSetting(
    'statsd-port',
    'Port of the statsd server on this instance; 0 sends no metrics.',
    integerText(0, 65_535),
    '0',
  ),
} as const;

/** The validated settings of an entry. */
export type EntrySettings = SettingValues<typeof ENTRY_SETTINGS>;
