import {StorePut} from '../../ports';

/** Returns the entry in which the operator reads the state of a wave. */
export type WaveStatus = (wave: number, complete: boolean) => StorePut;
