import {Result} from 'true-myth';
import {Finding} from '../types';
import {GivenSetting} from './given_setting';
import {Setting} from './setting';
import {SETTINGS} from './setting_list';
import {Settings} from './settings';

/** What the command line and the environment gave. */
export interface SettingInputs {
  /** Values of flags that were given, by flag. */
  readonly flags: Readonly<Record<string, unknown>>;
  /** The process's environment. */
  readonly environment: Readonly<Record<string, string | undefined>>;
}

const PREFIX = 'SESAMEFRONT_';
const DEFAULT_PLACE = 'default';

/**
 * Finds every setting's value and where it came from: flag, variable or default.
 *
 * @param inputs flags and environment
 */
export function findSettings(inputs: SettingInputs): readonly GivenSetting[] {
  return SETTINGS.map(setting => findSetting(setting, inputs));
}

/**
 * Checks all settings together.
 *
 * @param inputs flags and environment
 * @returns the settings, or every finding with its place
 */
export function readSettings(
  inputs: SettingInputs,
): Result<Settings, readonly Finding[]> {
  const findings: Finding[] = [...findUnknownVariables(inputs.environment)];
  const values: Record<string, unknown> = {};
  for (const setting of SETTINGS) {
    const given = findSetting(setting, inputs);
    const checked = setting.schema.safeParse(given.value);
    if (checked.success) values[setting.key] = checked.data;
    else {
      for (const {message} of checked.error.issues) {
        findings.push({place: given.place, message});
      }
    }
  }
  const settings = values as unknown as Settings;
  findings.push(...findSharedPorts(settings, inputs));
  findings.push(...findMissingTls(settings));
  if (findings.length > 0) return Result.err(findings);
  const memberId = settings.memberId ?? `entry-${settings.address}`;
  return Result.ok({...settings, memberId});
}

function findSetting(
  {flag, defaultValue, repeatable, secret = false}: Setting,
  {flags, environment}: SettingInputs,
): GivenSetting {
  const variable = variableOf(flag);
  if (flags[flag] !== undefined) {
    return {flag, value: flags[flag], place: `--${flag}`, secret};
  }
  const text = environment[variable];
  if (text !== undefined) {
    const value = repeatable ? text.split(',') : text;
    return {flag, value, place: variable, secret};
  }
  return {flag, value: defaultValue, place: DEFAULT_PLACE, secret};
}

function variableOf(flag: string): string {
  return PREFIX + flag.toUpperCase().replaceAll('-', '_');
}

/** Flags of other commands that may stand in the environment too. */
const OTHER_VARIABLES: readonly string[] = [
  'SESAMEFRONT_URL',
  'SESAMEFRONT_TOKEN',
  'SESAMEFRONT_CALLER_URL',
  'SESAMEFRONT_OUTPUT',
];

function findUnknownVariables(
  environment: SettingInputs['environment'],
): readonly Finding[] {
  const known = new Set([
    ...SETTINGS.map(({flag}) => variableOf(flag)),
    ...OTHER_VARIABLES,
  ]);
  return Object.keys(environment)
    .filter(name => name.startsWith(PREFIX) && !known.has(name))
    .map(place => ({place, message: 'names no setting'}));
}

function findSharedPorts(
  settings: Settings,
  inputs: SettingInputs,
): readonly Finding[] {
  const seen = new Map<number, string>();
  const findings: Finding[] = [];
  for (const setting of SETTINGS.filter(({key}) => key.endsWith('Port'))) {
    const port = settings[setting.key] as number | undefined;
    if (!port) continue;
    const first = seen.get(port);
    if (first === undefined) seen.set(port, setting.flag);
    else {
      const {place} = findSetting(setting, inputs);
      findings.push({place, message: `${port} is the ${first} already`});
    }
  }
  return findings;
}

function findMissingTls(settings: Settings): readonly Finding[] {
  const {tlsCertificate, tlsKey, tlsAuthorities} = settings;
  const parts = [
    {flag: 'tls-certificate', value: tlsCertificate},
    {flag: 'tls-key', value: tlsKey},
    {flag: 'tls-authorities', value: tlsAuthorities},
  ];
  const missing = parts.filter(({value}) => value === undefined);
  if (missing.length === parts.length) return [];
  return missing.map(({flag}) => ({
    place: `--${flag}`,
    message: 'is needed beside the other tls settings',
  }));
}
