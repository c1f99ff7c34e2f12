#include "overload/work_tally.h"
