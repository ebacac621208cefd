#include "era.h"

enum CfEraVerdict
cf_era_judge (uint64_t held, uint64_t era)
{
  if (era == 0 || era == held)
    return CF_ERA_HELD;
  if (era > CF_ERA_MAX)
    return CF_ERA_DOUBTED;
  if (held == 0)
    return CF_ERA_LATER;
  if (era > held)
    return era - held <= CF_ERA_JUMP_MAX ? CF_ERA_LATER : CF_ERA_DOUBTED;
  return held - era <= CF_ERA_JUMP_MAX ? CF_ERA_EARLIER : CF_ERA_DOUBTED;
}

enum CfEraVerdict
cf_era_judge_store (struct CfEraCandidate *candidate, uint64_t held, uint64_t era, CfMillis now)
{
  enum CfEraVerdict verdict = cf_era_judge (held, era);

  if (era == 0)
    return verdict;
  if (verdict != CF_ERA_DOUBTED || era > CF_ERA_MAX)
    {
      *candidate = (struct CfEraCandidate){ 0 };
      return verdict;
    }
  if (candidate->era != era)
    *candidate = (struct CfEraCandidate){ .era = era, .since = now };
  candidate->answers++;
  if (candidate->answers < CF_ERA_CONFIRM_ANSWERS || now - candidate->since < CF_ERA_CONFIRM_MS)
    return CF_ERA_DOUBTED;
  *candidate = (struct CfEraCandidate){ 0 };
  return CF_ERA_LATER;
}
