/** Default of the setting `entry_points.max_age_s`. */
export const DEFAULT_MAX_AGE_S = 5
