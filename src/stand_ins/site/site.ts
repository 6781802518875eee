/** A pool of workers at a site. */
export interface SitePool {
  readonly name: string;
  readonly workers: number;
  readonly spare: boolean;
}

/** Availability zones and pools of a site. */
export interface Site {
  readonly name: string;
  readonly availabilityZones: readonly string[];
  readonly pools: readonly SitePool[];
}
