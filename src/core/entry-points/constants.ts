/** Default of the setting `entry_points.max_age_s`. */
export const MAX_AGE_S = 5
