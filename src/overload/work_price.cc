#include "overload/work_price.h"
