import {Result} from 'true-myth';
import {Finding} from '../types';
import {ResolvedSetting} from './given_setting';
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

const VARIABLE_PREFIX = 'SESAMEFRONT_';
const DEFAULT_PLACE = 'default';

/**
 * Finds every setting's value and where it came from: flag, variable or default.
 *
 * @param inputs flags and environment
 */
export function findSettings(
  inputs: SettingInputs,
): readonly ResolvedSetting[] {
  return SETTINGS.map(setting => resolveSetting(setting, inputs));
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
    const resolved = resolveSetting(setting, inputs);
    const checked = setting.schema.safeParse(resolved.value);
    if (checked.success) values[setting.key] = checked.data;
    else {
      for (const {message} of checked.error.issues) {
        findings.push({place: resolved.place, message});
      }
    }
  }
  const settings = values as unknown as Settings;
  findings.push(...findPortConflicts(settings, inputs));
  findings.push(...findMissingTlsSettings(settings));
  if (findings.length > 0) return Result.err(findings);
  const memberId = settings.memberId ?? `entry-${settings.address}`;
  return Result.ok({...settings, memberId});
}

function resolveSetting(
  {flag, defaultValue, repeatable, secret = false}: Setting,
  {flags, environment}: SettingInputs,
): ResolvedSetting {
  const variable = getVariableName(flag);
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

function getVariableName(flag: string): string {
  return VARIABLE_PREFIX + flag.toUpperCase().replaceAll('-', '_');
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
    ...SETTINGS.map(({flag}) => getVariableName(flag)),
    ...OTHER_VARIABLES,
  ]);
  return Object.keys(environment)
    .filter(name => name.startsWith(VARIABLE_PREFIX) && !known.has(name))
    .map(place => ({place, message: 'names no setting'}));
}

function findPortConflicts(
  settings: Settings,
  inputs: SettingInputs,
): readonly Finding[] {
  const flagsByPort = new Map<number, string>();
  const findings: Finding[] = [];
  for (const setting of SETTINGS.filter(({key}) => key.endsWith('Port'))) {
    const port = settings[setting.key] as number | undefined;
    if (!port) continue;
    const first = flagsByPort.get(port);
    if (first === undefined) flagsByPort.set(port, setting.flag);
    else {
      const {place} = resolveSetting(setting, inputs);
      findings.push({place, message: `${port} is the ${first} already`});
    }
  }
  return findings;
}

function findMissingTlsSettings(settings: Settings): readonly Finding[] {
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
