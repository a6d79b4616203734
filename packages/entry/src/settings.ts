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
  listen: createSetting('listen', 'Address for callers.', requiredText(), '127.0.0.1:0'),
  innerListen: createSetting(
    'inner-listen',
    'Address for other entries.',
    requiredText(),
    '127.0.0.1:0',
  ),
  logUrl: createSetting('log-url', "Base URL of the platform's log.", z.url()),
  ordersUrl: createSetting('orders-url', 'Base URL of the target orders.', z.url()),
  usageUrl: createSetting('usage-url', 'Base URL of the usage reports.', z.url()),
  instancesUrl: createSetting('instances-url', 'Base URL of the instance list.', z.url()),
  peers: createSetting(
    'peers',
    'Inner addresses of other entries, beside those of the instance list.',
    listText(),
    '',
  ),
  subsetSize: createSetting(
    'subset-size',
    'Most targets of a service that this entry keeps links to.',
    integerText(1, 10_000),
    '64',
  ),
  configAgeMs: createSetting(
    'config-age-ms',
    'Oldest confirmation of the configuration with which requests are taken, in milliseconds.',
    integerText(100, 60_000),
    '2500',
  ),
  bodyBytes: createSetting(
    'body-bytes',
    'Largest request body, in bytes.',
    integerText(1, 64 * 1024 * 1024),
    '4194304',
  ),
  headerBytes: createSetting(
    'header-bytes',
    'Largest request head, in bytes.',
    integerText(1024, 1024 * 1024),
    '16384',
  ),
  targetPolicy: createSetting(
    'target-policy',
    'Choice of targets: `affinity`, or `random` as a baseline.',
    z.enum(['affinity', 'random']),
    'affinity',
  ),
  admission: createSetting(
    'admission',
    'Admission: `bounded` by team, or `open` as a baseline.',
    z.enum(['bounded', 'open']),
    'bounded',
  ),
  hedging: createSetting(
    'hedging',
    'Hedging of idempotent work: `quantile` or `none`.',
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
    'How long after its end a usage window is closed, in milliseconds.',
    integerText(0, 3_600_000),
    '30000',
  ),
  drainMs: createSetting(
    'drain-ms',
    'Longest time that a shutdown waits for open requests, in milliseconds.',
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

/** The checked settings of an entry. */
export type EntrySettings = SettingValues<typeof ENTRY_SETTINGS>;
